//! Writes the operator's file of one broker.

use std::fmt::{self, Write as _};
use std::net::SocketAddr;
use std::path::Path;

use super::{FleetOptions, PARTNERS, Peer, SEGMENT_BYTES, TENANTS, ZONES, broker_name};
use crate::links::Links;

/// The values that go into the operator's file of one broker.
pub(super) struct OperatorFile<'a> {
    /// Options of the fleet.
    pub options: &'a FleetOptions,
    /// The broker that the file is for.
    pub broker: &'a Peer,
    /// All brokers of the fleet, this one included.
    pub peers: &'a [Peer],
    /// Relays over which the broker reaches the others.
    pub links: &'a Links,
    /// Address of the service that fills replicas.
    pub fill_service: SocketAddr,
    /// Folder of the files of all brokers.
    pub folder: &'a Path,
}

impl OperatorFile<'_> {
    /// Returns the text of the file. It is empty if the control plane is disabled.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if self.options.control_plane_enabled {
            self.write_fleet(&mut text).expect("writing to a string does not fail");
        }
        text
    }

    /// Writes the `fleet` node with all of its children.
    fn write_fleet(&self, text: &mut String) -> fmt::Result {
        let options = self.options;
        writeln!(
            text,
            "fleet listen=\"{}\" folder=\"{}\" lease={:?} drift=0.01 bound={:?} {{",
            self.broker.address,
            self.own_path("state"),
            options.lease_seconds,
            options.switch_bound_seconds
        )?;
        self.write_peers(text)?;
        writeln!(text, "  key \"{}\"", self.folder.join("key").display())?;
        writeln!(text, "  version \"{}\"", self.own_path("version"))?;
        if options.audit_enabled {
            writeln!(text, "  record \"{}\"", self.own_path("acts"))?;
        }
        self.write_partners(text)?;
        let warm = if options.slow_start_seconds.is_some() { " warm=\"on\"" } else { "" };
        writeln!(
            text,
            "  fills at=\"{}\" deadline={:?} segment=\"{}MiB\"{warm}",
            self.fill_service,
            options.fill_deadline_seconds,
            SEGMENT_BYTES >> 20
        )?;
        let own_prefix = self.folder.join(&self.broker.name).display().to_string();
        for line in &options.extra_kdl_lines {
            writeln!(text, "  {}", line.replace("OWN", &own_prefix))?;
        }
        writeln!(text, "  map least-holders=2 least-zones=1 most-changed=1.0\n}}")
    }

    /// Writes one line per broker: this broker with its own address, each other broker with the address of the relay that leads
    /// to it.
    fn write_peers(&self, text: &mut String) -> fmt::Result {
        for (index, peer) in self.peers.iter().enumerate() {
            let kind = if index < self.options.voter_count { "voter" } else { "peer" };
            let address = if peer.name == self.broker.name {
                peer.address
            } else {
                self.links.relay_address(&self.broker.name, &peer.name)
            };
            writeln!(text, "  {kind} \"{}\" at=\"{address}\"", peer.name)?;
        }
        Ok(())
    }

    /// Writes one line per partner with its zone, its tenant and its brokers.
    fn write_partners(&self, text: &mut String) -> fmt::Result {
        for (index, partner) in PARTNERS.iter().enumerate() {
            let (zone, tenant) = (ZONES[index], TENANTS[index]);
            write!(text, "  partner \"{partner}\" zones=\"{zone}\" customers=\"{tenant}\"")?;
            if self.options.metering_enabled {
                write!(text, " metered=\"on\"")?;
            }
            let brokers: Vec<_> =
                self.options.partner_brokers[index].iter().map(|broker| broker_name(*broker)).collect();
            if !brokers.is_empty() {
                write!(text, " brokers=\"{}\"", brokers.join(","))?;
            }
            writeln!(text)?;
        }
        Ok(())
    }

    /// Returns the path of this broker's own file with this extension.
    fn own_path(&self, extension: &str) -> String {
        self.folder.join(format!("{}.{extension}", self.broker.name)).display().to_string()
    }
}
