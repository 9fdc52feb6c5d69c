//! The operator's file of one broker.

use std::fmt::{self, Write as _};
use std::net::SocketAddr;
use std::path::Path;

use super::{FleetOptions, PARTNERS, Peer, SEGMENT_BYTES, TENANTS, ZONES, broker_name};
use crate::links::Links;

/// What a broker's operator's file speaks of.
pub(super) struct OperatorFile<'a> {
    pub options: &'a FleetOptions,
    pub broker: &'a Peer,
    pub peers: &'a [Peer],
    pub links: &'a Links,
    pub fill_service: SocketAddr,
    /// Where the files of all brokers are.
    pub folder: &'a Path,
}

impl OperatorFile<'_> {
    /// Its text: empty where the control plane is off.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if self.options.control_plane_enabled {
            self.write_fleet(&mut text).expect("a string takes all");
        }
        text
    }

    fn write_fleet(&self, text: &mut String) -> fmt::Result {
        let options = self.options;
        writeln!(
            text,
            "fleet listen=\"{}\" folder=\"{}\" lease={:?} drift=0.01 bound={:?} {{",
            self.broker.address,
            self.own_path("state"),
            options.lease_seconds,
            options.lease_bound_seconds
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
        let own = self.folder.join(&self.broker.name).display().to_string();
        for line in &options.extra_lines {
            writeln!(text, "  {}", line.replace("OWN", &own))?;
        }
        writeln!(text, "  map least-holders=2 least-zones=1 most-changed=1.0\n}}")
    }

    /// All brokers, the others where their relays listen.
    fn write_peers(&self, text: &mut String) -> fmt::Result {
        for (index, peer) in self.peers.iter().enumerate() {
            let kind = if index < self.options.voters { "voter" } else { "peer" };
            let address = if peer.name == self.broker.name {
                peer.address
            } else {
                self.links.relay_address(&self.broker.name, &peer.name)
            };
            writeln!(text, "  {kind} \"{}\" at=\"{address}\"", peer.name)?;
        }
        Ok(())
    }

    fn write_partners(&self, text: &mut String) -> fmt::Result {
        for (index, partner) in PARTNERS.iter().enumerate() {
            let (zone, tenant) = (ZONES[index], TENANTS[index]);
            write!(text, "  partner \"{partner}\" zones=\"{zone}\" customers=\"{tenant}\"")?;
            if self.options.metered {
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

    fn own_path(&self, extension: &str) -> String {
        self.folder.join(format!("{}.{extension}", self.broker.name)).display().to_string()
    }
}
