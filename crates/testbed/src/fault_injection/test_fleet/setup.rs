//! Starts the fleet: ports, relays, stubs, configurations and processes.

use super::super::error::FaultInjectionError;
use super::super::link_relay::LinkRelay;
use super::super::node_process::NodeCommand;
use super::super::ports::{bind_restart_port, BoundPort};
use super::super::run_history::RunHistory;
use super::{FleetShape, Link, NodeAddresses, TestFleet, NODE_NAME_PREFIX};
use crate::emulator::description::RunDescription;
use crate::sockets::{node_config, ArrivalRecord, DiscoveryEntry, StubDiscovery, StubModelServer};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Mixed into the seed, so that the fleet and the faults use different random sequences.
const SEED_MASK: u64 = 0xf1ee7;
/// The number of model servers in each zone.
const SERVERS_PER_ZONE: usize = 2;
const YEAR_S: i64 = 365 * 86_400;
/// The possible offsets of wall clocks, in seconds; one is drawn for each node.
const WALL_CLOCK_OFFSETS_S: [i64; 5] = [0, 0, YEAR_S, -YEAR_S, 90];

/// The inputs for the start of a fleet.
#[derive(Clone, Copy)]
pub(in super::super) struct FleetSetup<'a> {
    pub(in super::super) shape: &'a FleetShape,
    /// The node's program.
    pub(in super::super) program: &'a Path,
    /// The folder of configurations, disks and logs.
    pub(in super::super) folder: &'a Path,
    pub(in super::super) history: &'a RunHistory,
    /// The address to which the report task sends its reports.
    pub(in super::super) collector: SocketAddr,
    pub(in super::super) seed: u64,
}

struct ModelServers {
    models: Vec<StubModelServer>,
    entries: Vec<DiscoveryEntry>,
    arrivals: ArrivalRecord,
}

/// The inputs for the configuration files of all nodes.
struct FleetConfig<'a> {
    setup: FleetSetup<'a>,
    run: RunDescription,
    addresses: Vec<NodeAddresses>,
    links: BTreeMap<Link, LinkRelay>,
    report_links: Vec<LinkRelay>,
    discovery: StubDiscovery,
}

impl TestFleet {
    /// Starts the whole fleet. The order in which random numbers are drawn must not change, since it determines what a
    /// seed reproduces.
    pub(in super::super) async fn start(
        setup: FleetSetup<'_>,
    ) -> Result<TestFleet, FaultInjectionError> {
        let shape = setup.shape;
        let mut rng = Pcg64Mcg::seed_from_u64(setup.seed ^ SEED_MASK);
        let mut run = RunDescription::default();
        run.fleet.nodes = shape.nodes;
        run.fleet.servers = SERVERS_PER_ZONE * shape.zones;
        run.fleet.zones = shape.zones;
        let run = run.check()?;
        let servers = start_model_servers(&run, shape.zones).await?;
        let discovery = StubDiscovery::start(servers.entries).await?;
        let (addresses, reserved_ports) = reserve_addresses(shape.nodes).await?;
        let links = start_links(&addresses, &mut rng).await?;
        let mut report_links = Vec::new();
        for _ in 0..shape.nodes {
            report_links.push(LinkRelay::start(setup.collector, rng.random()).await?);
        }
        // Releases the ports for the nodes, which bind them at their start.
        drop(reserved_ports);
        let config = FleetConfig {
            setup,
            run,
            addresses,
            links,
            report_links,
            discovery,
        };
        let mut commands = Vec::new();
        for node in 0..shape.nodes {
            commands.push(config.write(node, &mut rng)?);
        }
        let fleet = TestFleet {
            shape: shape.clone(),
            folder: setup.folder.to_path_buf(),
            history: setup.history.clone(),
            addresses: config.addresses,
            commands,
            processes: RefCell::new((0..shape.nodes).map(|_| None).collect()),
            links: config.links,
            report_links: config.report_links,
            _discovery: config.discovery,
            servers: servers.models,
            arrivals: servers.arrivals,
            failed_disk_count: Cell::new(0),
        };
        for node in 0..shape.nodes {
            fleet.start_node(node)?;
        }
        Ok(fleet)
    }
}

async fn start_model_servers(
    run: &RunDescription,
    zones: usize,
) -> Result<ModelServers, FaultInjectionError> {
    let since = tokio::time::Instant::now();
    let mut servers = ModelServers {
        models: Vec::new(),
        entries: Vec::new(),
        arrivals: ArrivalRecord::default(),
    };
    for index in 0..run.fleet.servers {
        let mut model = StubModelServer::start(run.fleet.server.clone()).await?;
        // The listener serves a clone of the stub, so it must be restarted to serve one that has the arrival record.
        model.stop();
        model.set_arrival_record(since, &servers.arrivals, index);
        model.restart().await?;
        servers
            .entries
            .push(DiscoveryEntry::new(index, index % zones, model.address()));
        servers.models.push(model);
    }
    Ok(servers)
}

/// Allocates the addresses of all nodes. Their ports stay bound until the second value is dropped.
async fn reserve_addresses(
    node_count: usize,
) -> Result<(Vec<NodeAddresses>, Vec<BoundPort>), FaultInjectionError> {
    let mut ports = Vec::new();
    for _ in 0..3 * node_count {
        ports.push(
            bind_restart_port()
                .await
                .map_err(FaultInjectionError::Port)?,
        );
    }
    let mut addresses = Vec::new();
    for node in 0..node_count {
        addresses.push(NodeAddresses {
            coordination: ports[node].address,
            admin: ports[node_count + node].address,
            serving: ports[2 * node_count + node].address,
        });
    }
    Ok((addresses, ports))
}

async fn start_links(
    addresses: &[NodeAddresses],
    rng: &mut Pcg64Mcg,
) -> Result<BTreeMap<Link, LinkRelay>, FaultInjectionError> {
    let mut links = BTreeMap::new();
    for from in 0..addresses.len() {
        for (to, receiver) in addresses.iter().enumerate() {
            if to != from {
                let relay = LinkRelay::start(receiver.coordination, rng.random()).await?;
                links.insert(Link { from, to }, relay);
            }
        }
    }
    Ok(links)
}

impl FleetConfig<'_> {
    /// Writes the configuration files of a node, and draws its clock errors.
    fn write(&self, node: usize, rng: &mut Pcg64Mcg) -> Result<NodeCommand, FaultInjectionError> {
        let addresses = self.addresses[node];
        let config_file = self.path(node, "json");
        let config = node_config(&self.run, node, addresses.serving, &self.discovery);
        std::fs::write(&config_file, config).map_err(FaultInjectionError::file(&config_file))?;
        let operator_file = self.path(node, "toml");
        std::fs::write(&operator_file, self.format_operator_file(node))
            .map_err(FaultInjectionError::file(&operator_file))?;
        let clock_ppm = self.draw_clock_ppm(node, rng);
        let wall_clock_offset_s = if self.setup.shape.has_wrong_wall_clocks {
            WALL_CLOCK_OFFSETS_S[rng.random_range(0..WALL_CLOCK_OFFSETS_S.len())]
        } else {
            0
        };
        Ok(NodeCommand {
            program: self.setup.program.to_path_buf(),
            config: config_file,
            operator_file,
            log: self.path(node, "log"),
            admin_address: addresses.admin.to_string(),
            clock_ppm,
            wall_clock_offset_s,
            disk_faults: self.path(node, "orders"),
        })
    }

    fn path(&self, node: usize, extension: &str) -> PathBuf {
        self.setup.folder.join(format!("node-{node}.{extension}"))
    }

    /// The operator file of a node, as TOML.
    fn format_operator_file(&self, node: usize) -> String {
        let shape = self.setup.shape;
        let lease_servers: Vec<String> = (0..shape.lease_servers)
            .map(|server| format_address_line(server, self.addresses[server].coordination))
            .collect();
        let relays: Vec<String> = self
            .links
            .iter()
            .filter(|(link, _)| link.from == node)
            .map(|(link, relay)| format_address_line(link.to, relay.address()))
            .collect();
        format!(
            "[fleet]\nname = \"lab\"\nlisten = \"{}\"\nfolder = {:?}\nlease = \"{}ms\"\ndrift = {}\n\
             probe = \"200ms\"\npatience = \"100ms\"\n[fleet.keepers]\n{}\n[fleet.via]\n{}\n\
             [fleet.report]\nto = \"{}\"\nevery = \"{}ms\"\n{}",
            self.addresses[node].coordination,
            self.path(node, "disk").display().to_string(),
            shape.lease_duration.as_millis(),
            shape.allowed_drift_ppm,
            lease_servers.join("\n"),
            relays.join("\n"),
            self.report_links[node].address(),
            shape.report_interval.as_millis(),
            shape.more_operator_settings,
        )
    }

    fn draw_clock_ppm(&self, node: usize, rng: &mut Pcg64Mcg) -> i64 {
        let shape = self.setup.shape;
        let skew_ppm = i64::from(shape.clock_skew_ppm);
        if !shape.has_opposed_clocks {
            return rng.random_range(-skew_ppm..=skew_ppm);
        }
        if node < shape.lease_servers {
            skew_ppm
        } else {
            -skew_ppm
        }
    }
}

/// A line of the operator file: a node's name and its address.
fn format_address_line(node: usize, address: SocketAddr) -> String {
    format!("{NODE_NAME_PREFIX}{node} = \"{address}\"")
}
