//! The fleet under test: processes, the links between them, discovery and model servers.

#![expect(
    clippy::cognitive_complexity,
    clippy::min_ident_chars,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::faults::{Fault, Kind};
use super::history::History;
use super::process::{Process, Start};
use super::relay::{lasting, Relay, Weather};
use super::roll::call;
use crate::emulator::description::RunDescription;
use crate::sockets::{config, Arrivals, Discovery, Entry, Model};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What the fleet looks like.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Processes.
    pub nodes: usize,
    /// Zones; nodes and servers are spread over them in turn.
    pub zones: usize,
    /// The first so many are keepers.
    pub keepers: usize,
    /// The lease's length.
    pub lease: Duration,
    /// The drift that the nodes are told, in parts in a million.
    pub drift: u32,
    /// How wrong their clocks do run, in parts in a million.
    pub skew: u32,
    /// Clocks of keepers are as fast as that, and those of all others as slow, in place of clocks drawn between.
    pub apart: bool,
    /// Time between two acts.
    pub every: Duration,
    /// Whether wall clocks are wrong, some by a year.
    pub walls: bool,
    /// More of the operators' file, as TOML.
    pub more: String,
}

impl Default for Shape {
    fn default() -> Self {
        let (lease, every) = (Duration::from_secs(1), Duration::from_millis(20));
        Shape {
            nodes: 9,
            zones: 1,
            keepers: 3,
            lease,
            drift: 50_000,
            skew: 50_000,
            apart: false,
            every,
            walls: true,
            more: String::new(),
        }
    }
}

/// The fleet.
pub struct Fleet {
    shape: Shape,
    folder: PathBuf,
    history: History,
    starts: Vec<Start>,
    processes: RefCell<Vec<Option<Process>>>,
    /// By sender and receiver.
    links: BTreeMap<(usize, usize), Relay>,
    /// From each node to what it acts upon.
    acts: Vec<Relay>,
    admins: Vec<SocketAddr>,
    _discovery: Discovery,
    models: Vec<Model>,
    serving: Vec<SocketAddr>,
    arrivals: Arrivals,
    /// Keepers that said that their disks had failed.
    disks_failed: Cell<usize>,
}

fn copy(from: &Path, to: &Path) -> std::io::Result<()> {
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        std::fs::copy(entry.path(), to.join(entry.file_name()))?;
    }
    Ok(())
}

impl Fleet {
    /// Starts all of it; acts go to `collector`.
    pub async fn start(
        shape: &Shape,
        program: &Path,
        folder: &Path,
        history: History,
        collector: SocketAddr,
        seed: u64,
    ) -> Result<Fleet, String> {
        let named = |path: &Path, e: std::io::Error| format!("{}: {e}", path.display());
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xf1ee7);
        let mut run = RunDescription::default();
        (run.fleet.nodes, run.fleet.servers, run.fleet.zones) =
            (shape.nodes, 2 * shape.zones, shape.zones);
        let run = run.check().map_err(|e| e.to_string())?;
        let (mut models, mut entries) = (Vec::new(), Vec::new());
        let (since, arrivals) = (tokio::time::Instant::now(), Arrivals::default());
        for n in 0..run.fleet.servers {
            let mut model = Model::start(run.fleet.server.clone()).await?;
            // Once more, so that the listener's own copy has the record, too.
            model.end();
            model.record(since, &arrivals, n);
            model.restart().await?;
            let (name, zone) = (format!("m-{n}"), format!("z{}", n % shape.zones));
            entries.push(Entry {
                name,
                addr: model.addr,
                zone,
                state: "up",
                started_ms: 0,
            });
            models.push(model);
        }
        let discovery = Discovery::start(entries).await?;
        let mut addrs = Vec::new();
        let mut held = Vec::new();
        for _ in 0..shape.nodes {
            let pair = lasting().await.map_err(|e| format!("port: {e}"))?;
            addrs.push(pair.0.local_addr().map_err(|e| format!("port: {e}"))?);
            held.push(pair);
        }
        let mut admins = Vec::new();
        for _ in 0..shape.nodes {
            let pair = lasting().await.map_err(|e| format!("port: {e}"))?;
            admins.push(pair.0.local_addr().map_err(|e| format!("port: {e}"))?);
            held.push(pair);
        }
        let mut serving = Vec::new();
        for _ in 0..shape.nodes {
            let pair = lasting().await.map_err(|e| format!("port: {e}"))?;
            serving.push(pair.0.local_addr().map_err(|e| format!("port: {e}"))?);
            held.push(pair);
        }
        let mut links = BTreeMap::new();
        for from in 0..shape.nodes {
            for to in (0..shape.nodes).filter(|to| *to != from) {
                links.insert((from, to), Relay::start(addrs[to], rng.random()).await?);
            }
        }
        let mut acts = Vec::new();
        for _ in 0..shape.nodes {
            acts.push(Relay::start(collector, rng.random()).await?);
        }
        // The nodes take these ports now.
        drop(held);
        let mut starts = Vec::new();
        for me in 0..shape.nodes {
            let path = |kind: &str| folder.join(format!("node-{me}.{kind}"));
            let (json, toml) = (path("json"), path("toml"));
            std::fs::write(&json, config(&run, me, serving[me], &discovery))
                .map_err(|e| named(&json, e))?;
            let keeper = |k: usize| format!("lab-{k} = \"{}\"", addrs[k]);
            let keepers: Vec<String> = (0..shape.keepers).map(keeper).collect();
            let via = |to: usize| {
                links
                    .get(&(me, to))
                    .map(|link: &Relay| format!("lab-{to} = \"{}\"", link.addr))
            };
            let via: Vec<String> = (0..shape.nodes).filter_map(via).collect();
            let text = format!(
                "[fleet]\nname = \"lab\"\nlisten = \"{}\"\nfolder = {:?}\nlease = \"{}ms\"\ndrift = {}\n\
                 probe = \"200ms\"\npatience = \"100ms\"\n[fleet.keepers]\n{}\n[fleet.via]\n{}\n\
                 [fleet.report]\nto = \"{}\"\nevery = \"{}ms\"\n{}",
                addrs[me],
                path("disk").display().to_string(),
                shape.lease.as_millis(),
                shape.drift,
                keepers.join("\n"),
                via.join("\n"),
                acts[me].addr,
                shape.every.as_millis(),
                shape.more,
            );
            std::fs::write(&toml, text).map_err(|e| named(&toml, e))?;
            let skew = i64::from(shape.skew);
            let clock_ppm = match (shape.apart, me < shape.keepers) {
                (true, true) => skew,
                (true, false) => -skew,
                (false, _) => rng.random_range(-skew..=skew),
            };
            let year = 365 * 86_400;
            let wall_s = if shape.walls {
                [0, 0, year, -year, 90][rng.random_range(0..5)]
            } else {
                0
            };
            let (program, log, disk_orders) = (program.to_path_buf(), path("log"), path("orders"));
            starts.push(Start {
                program,
                config: json,
                operator: toml,
                log,
                admin: admins[me].to_string(),
                clock_ppm,
                wall_s,
                disk_orders,
            });
        }
        let folder = folder.to_path_buf();
        let fleet = Fleet {
            shape: shape.clone(),
            folder,
            history,
            starts,
            processes: RefCell::new((0..shape.nodes).map(|_| None).collect()),
            links,
            acts,
            admins,
            _discovery: discovery,
            models,
            serving,
            arrivals,
            disks_failed: Cell::new(0),
        };
        (0..shape.nodes).try_for_each(|me| fleet.begin(me))?;
        Ok(fleet)
    }

    /// Where clients call each node.
    pub fn serving(&self) -> Vec<SocketAddr> {
        self.serving.clone()
    }

    /// What the servers write down.
    pub fn arrivals(&self) -> Arrivals {
        self.arrivals.clone()
    }

    /// How many model servers there are.
    pub fn servers(&self) -> usize {
        self.models.len()
    }

    /// Whether a server answers every request with an error.
    pub fn fail(&self, server: usize, failing: bool) {
        self.models[server].fail(failing);
    }

    /// Where operators call each node.
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.admins.clone()
    }

    fn begin(&self, me: usize) -> Result<(), String> {
        self.history.add(
            "start",
            json!({"node": me, "clock_ppm": self.starts[me].clock_ppm}),
        );
        self.processes.borrow_mut()[me] = Some(Process::start(&self.starts[me])?);
        Ok(())
    }

    async fn kill(&self, me: usize) {
        self.history.add("kill", json!({"node": me}));
        let process = self.processes.borrow_mut()[me].take();
        if let Some(process) = process {
            process.kill().await;
        }
    }

    fn disk(&self, me: usize) -> PathBuf {
        self.folder.join(format!("node-{me}.disk"))
    }

    /// Keeps each keeper's disk as it is now, for [`Kind::OldDisk`].
    pub fn keep_disks(&self) -> Result<(), String> {
        for me in 0..self.shape.keepers {
            copy(&self.disk(me), &self.disk(me).with_extension("old"))
                .map_err(|e| format!("disk: {e}"))?;
        }
        Ok(())
    }

    /// Processes that have ended by themselves.
    pub fn crashed(&self) -> Vec<(usize, String)> {
        let mut processes = self.processes.borrow_mut();
        let ended =
            |(me, p): (usize, &mut Option<Process>)| p.as_mut()?.ended().map(|why| (me, why));
        processes.iter_mut().enumerate().filter_map(ended).collect()
    }

    fn set(&self, which: impl Fn(usize, usize) -> bool, weather: Weather) {
        self.links
            .iter()
            .filter(|(pair, _)| which(pair.0, pair.1))
            .for_each(|(_, link)| link.set(weather));
    }

    /// Plays one fault from its beginning to its end.
    pub async fn play(&self, fault: &Fault, holder: usize) -> Result<(), String> {
        let (nodes, keepers) = (self.shape.nodes, self.shape.keepers);
        let span = Duration::from_millis(fault.for_ms);
        let keeper = fault.whom as usize % keepers;
        let node = fault.whom as usize % nodes;
        self.history
            .add("fault", json!({"fault": fault, "holder": holder}));
        let cut = Weather {
            cut: true,
            ..Weather::default()
        };
        match fault.kind {
            Kind::KillHolder => self.down(&[holder], span).await?,
            Kind::KillNode => self.down(&[node], span).await?,
            Kind::KillKeeper => self.down(&[keeper], span).await?,
            Kind::KillBoth => self.down(&[holder, keeper], span).await?,
            Kind::KillKeepers => self.down(&(0..keepers).collect::<Vec<_>>(), span).await?,
            Kind::EndHolder => {
                let process = self.processes.borrow_mut()[holder].take();
                if let Some(process) = process {
                    process.end().await;
                }
                tokio::time::sleep(span).await;
                self.begin(holder)?;
            }
            Kind::StopHolder | Kind::StopKeeper => {
                let whom = if fault.kind == Kind::StopHolder {
                    holder
                } else {
                    keeper
                };
                self.stopped(whom, span).await;
            }
            Kind::OldDisk | Kind::EmptyDisk => {
                self.kill(keeper).await;
                tokio::time::sleep(span).await;
                let disk = self.disk(keeper);
                match fault.kind {
                    Kind::OldDisk => copy(&disk.with_extension("old"), &disk),
                    _ => std::fs::remove_dir_all(&disk),
                }
                .map_err(|e| format!("{}: {e}", disk.display()))?;
                self.begin(keeper)?;
                // One memory lost at a time: until it grants again the others keep theirs.
                tokio::time::sleep(self.shape.lease * 2).await;
            }
            Kind::CutOneWay => {
                self.set(|from, to| from == keeper && to != keeper, cut);
                tokio::time::sleep(span).await;
            }
            Kind::CutHolder => {
                self.set(|from, to| from == holder && to < keepers, cut);
                tokio::time::sleep(span).await;
            }
            Kind::Split => {
                let side = |n: usize| (n as u64 ^ fault.whom) & 1 == 0;
                self.set(|from, to| side(from) != side(to), cut);
                tokio::time::sleep(span).await;
            }
            Kind::LateAct => {
                let late = self.shape.lease * 3;
                self.acts[holder].set(Weather {
                    delay: late,
                    ..Weather::default()
                });
                // Long enough for an act to be on its way, too short for an answer to any.
                tokio::time::sleep(self.shape.every * 3 + self.shape.lease / 10).await;
                self.acts[holder].set(Weather::default());
                self.down(&[holder], late).await?;
            }
            Kind::HalfLeave => {
                // In order and in the same second; the last keeper majority stays.
                let half: Vec<usize> = (keepers / 2..nodes).step_by(2).collect();
                let leaving: Vec<Process> = half
                    .iter()
                    .filter_map(|me| self.processes.borrow_mut()[*me].take())
                    .collect();
                self.history.add("leave", json!({"nodes": half}));
                futures_util::future::join_all(leaving.into_iter().map(Process::end)).await;
                tokio::time::sleep(span).await;
                half.iter().try_for_each(|me| self.begin(*me))?;
            }
            Kind::Rolling => {
                for me in 0..nodes {
                    let process = self.processes.borrow_mut()[me].take();
                    if let Some(process) = process {
                        process.end().await;
                    }
                    self.begin(me)?;
                    tokio::time::sleep(span / nodes as u32).await;
                }
            }
            Kind::StopMidAct => {
                let on_its_way = span + self.shape.lease / 2;
                self.acts[holder].set(Weather {
                    delay: on_its_way,
                    ..Weather::default()
                });
                tokio::time::sleep(self.shape.every * 3 + self.shape.lease / 10).await;
                self.acts[holder].set(Weather::default());
                self.stopped(holder, span).await;
                tokio::time::sleep(self.shape.lease).await;
            }
            Kind::FullDisk | Kind::FailedSync => {
                self.bad_disk(fault.kind, keeper, holder, span).await?
            }
            Kind::NameTwice => {
                let whose = if fault.size < 0.5 { holder } else { node };
                self.twin(whose, holder, span.max(self.shape.lease * 2))
                    .await?;
            }
            Kind::Weather => {
                let delay = self.shape.lease.mul_f64(fault.size);
                let weather = Weather {
                    cut: false,
                    loss: fault.size / 2.0,
                    repeat: 0.3,
                    delay,
                };
                self.set(|_, _| true, weather);
                tokio::time::sleep(span).await;
            }
        }
        self.set(|_, _| true, Weather::default());
        self.history.add("healed", json!({}));
        Ok(())
    }

    async fn stopped(&self, whom: usize, span: Duration) {
        let each = |act: fn(&Process)| self.processes.borrow()[whom].iter().for_each(act);
        each(Process::stop);
        tokio::time::sleep(span).await;
        each(Process::wake);
    }

    /// How many keepers have said that their disks had failed.
    pub fn disks_failed(&self) -> usize {
        self.disks_failed.get()
    }

    /// A keeper whose disk fails from now on, while another node has to be granted something.
    async fn bad_disk(
        &self,
        kind: Kind,
        keeper: usize,
        holder: usize,
        span: Duration,
    ) -> Result<(), String> {
        let keeper = if keeper == holder {
            (keeper + 1) % self.shape.keepers
        } else {
            keeper
        };
        let orders = &self.starts[keeper].disk_orders;
        let named = |e: std::io::Error| format!("{}: {e}", orders.display());
        std::fs::write(
            orders,
            if kind == Kind::FullDisk {
                "full"
            } else {
                "sync"
            },
        )
        .map_err(named)?;
        self.down(&[holder], span.max(self.shape.lease * 3)).await?;
        let figures = call(self.admins[keeper], "GET /api/telemetry")
            .await
            .map(|found| found.1);
        let failed = figures.is_some_and(|text| text.contains("app_fleet_keeper_disk_failed 1"));
        self.history
            .add("disk", json!({"keeper": keeper, "failed": failed}));
        self.disks_failed
            .set(self.disks_failed.get() + usize::from(failed));
        std::fs::remove_file(orders).map_err(named)?;
        // What staff do: mend the disk, start again.
        self.down(&[keeper], Duration::ZERO).await?;
        tokio::time::sleep(self.shape.lease * 2).await;
        Ok(())
    }

    /// A second process under a node's name; the holder is killed meanwhile, so that all ask.
    async fn twin(&self, whose: usize, holder: usize, span: Duration) -> Result<(), String> {
        let (mut start, mut addrs) = (self.starts[whose].clone(), Vec::new());
        for _ in 0..3 {
            let pair = lasting().await.map_err(|e| format!("port: {e}"))?;
            addrs.push(pair.0.local_addr().map_err(|e| format!("port: {e}"))?);
        }
        let [fleet, admin, serving] = addrs[..] else {
            return Err("port: none".into());
        };
        let own = self
            .links
            .iter()
            .find(|(pair, _)| pair.1 == whose)
            .map(|(_, link)| link.to);
        let own = own.ok_or("a fleet of one has no twins")?;
        let rewrite = |from: &Path, kind: &str, changes: &[(String, String)]| {
            let to = self.folder.join(format!("twin-{whose}.{kind}"));
            let text =
                std::fs::read_to_string(from).map_err(|e| format!("{}: {e}", from.display()))?;
            let text = changes
                .iter()
                .fold(text, |text, (from, to)| text.replace(from, to));
            std::fs::write(&to, text).map_err(|e| format!("{}: {e}", to.display()))?;
            Ok::<_, String>(to)
        };
        let disk = |path: PathBuf| format!("folder = {:?}", path.display().to_string());
        let twin_disk = self.folder.join(format!("twin-{whose}.disk"));
        let _ = std::fs::remove_dir_all(&twin_disk);
        let listen = |addr: SocketAddr| format!("listen = \"{addr}\"");
        let operator = [
            (listen(own), listen(fleet)),
            (disk(self.disk(whose)), disk(twin_disk)),
        ];
        start.operator = rewrite(&start.operator, "toml", &operator)?;
        let served = (self.serving[whose].to_string(), serving.to_string());
        start.config = rewrite(&start.config, "json", &[served])?;
        (start.log, start.admin) = (
            self.folder.join(format!("twin-{whose}.log")),
            admin.to_string(),
        );
        self.history.add("twin", json!({"node": whose}));
        let links = || self.links.iter().filter(|(pair, _)| pair.1 == whose);
        links().for_each(|(_, link)| link.split(Some(fleet)));
        let twin = Process::start(&start)?;
        tokio::time::sleep(span / 2).await;
        self.down(&[holder], span / 2).await?;
        twin.kill().await;
        links().for_each(|(_, link)| link.split(None));
        self.history.add("twin gone", json!({"node": whose}));
        Ok(())
    }

    async fn down(&self, whom: &[usize], span: Duration) -> Result<(), String> {
        for me in whom {
            self.kill(*me).await;
        }
        tokio::time::sleep(span).await;
        for me in whom {
            if self.processes.borrow()[*me].is_none() {
                self.begin(*me)?;
            }
        }
        Ok(())
    }

    /// Ends all processes.
    pub async fn end(&self) {
        let processes: Vec<Process> = self
            .processes
            .borrow_mut()
            .iter_mut()
            .filter_map(Option::take)
            .collect();
        for process in processes {
            process.kill().await;
        }
    }
}
