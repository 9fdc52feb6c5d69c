//! Endpoint discovery: calls that fail at any point, restarted agents, nodes missing from complete lists, and startup without a
//! list, a free port or free descriptors.

#[path = "../agent/mod.rs"]
mod agent;
mod calls;
mod descriptors;
mod first_list;
mod full_list;
mod port;
mod restarted_agent;
