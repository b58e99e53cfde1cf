//! The lab's command line: see `poppykeel-testbed --help`.

#![expect(
    clippy::doc_markdown,
    clippy::min_ident_chars,
    clippy::redundant_closure_for_method_calls,
    reason = "not yet converted"
)]

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use poppykeel_testbed::emulator::description::BudgetDivision;
use poppykeel_testbed::emulator::description::RunDescription as Description;
use poppykeel_testbed::emulator::policies::Policy;
use poppykeel_testbed::emulator::Simulation;
use poppykeel_testbed::experiment::table::{compare, table};
use poppykeel_testbed::experiment::{runner, Experiment, Metric, ResultsFolder, RunResult};
use poppykeel_testbed::fault_injection::{
    run_budget_scenario, run_lease_scenario, run_rolling_restart_scenario, BudgetScenario,
    BudgetWhole, FleetShape, InjectedFault, InjectedFaultKind, LeaseScenario,
    RollingRestartScenario,
};
use poppykeel_testbed::sockets;
use poppykeel_testbed::view;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "poppykeel-testbed",
    version,
    about = "Tries designs on an emulated fleet, and a node on sockets"
)]
struct TestbedCli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an experiment, or what is missing of it, and show its table
    Run(Run),
    /// Show a table of results
    Table(Table),
    /// Show by how much results have changed, seed by seed; * where the 95% interval leaves out 0
    Compare(Compare),
    /// Make one page with pictures of results
    Report(Report),
    /// Start model servers, discovery and a node on loopback, to try it by hand; Ctrl-C ends all
    Up(UpCommand),
    /// Play an experiment on loopback sockets instead, and show its table
    Load(Load),
    /// Show a run of the emulator, or a running node by its log, on the terminal
    View(View),
    /// Start several nodes and break what is between them; exit code 1 where a guarantee did not hold
    Break(Break),
    /// Read an experiment's file and say what it comes to
    Check {
        /// The experiment, as TOML
        file: PathBuf,
    },
}

#[derive(Args)]
struct Break {
    #[command(subcommand)]
    what: Breaks,
}

#[derive(Subcommand)]
enum Breaks {
    /// A task held under a lease: never two holders, and soon one again
    Leases(BreakLeases),
    /// All nodes taken out one after the other: never more than allowed, and all in the end
    Roll(BreakRoll),
    /// A budget of retries for all nodes: never more than the whole, by the servers' own records
    Budgets(BreakBudgets),
}

#[derive(Args)]
struct BreakBudgets {
    /// Processes
    #[arg(long, default_value_t = 9)]
    nodes: usize,
    /// Faults, one after the other
    #[arg(long, default_value_t = 20)]
    rounds: usize,
    /// From which all faults are drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Retries a second of the whole fleet
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// And at once
    #[arg(long, default_value_t = 20.0)]
    burst: f64,
    /// How the budgets reach the nodes
    #[arg(long, value_enum, default_value_t = BudgetDivision::Shares)]
    division: BudgetDivision,
    /// The first node gets so many times the requests of any other
    #[arg(long, default_value_t = 1.0)]
    hot: f64,
    /// Zones
    #[arg(long, default_value_t = 2)]
    zones: usize,
    /// Only faults of these kinds
    #[arg(long, value_enum, value_delimiter = ',')]
    only: Vec<InjectedFaultKind>,
    /// The node's program; by default this very one serves
    #[arg(long, value_name = "FILE")]
    node: Option<PathBuf>,
    /// Where configurations, disks, logs and the history go
    #[arg(
        long,
        value_name = "FOLDER",
        default_value = "target/lab/break-budgets"
    )]
    out: PathBuf,
}

impl Breaks {
    fn run(&self) -> Result<bool, String> {
        match self {
            Breaks::Leases(leases) => leases.run(),
            Breaks::Roll(roll) => roll.run(),
            Breaks::Budgets(budgets) => budgets.run(),
        }
    }
}

#[derive(Args)]
struct BreakRoll {
    /// Processes
    #[arg(long, default_value_t = 9)]
    nodes: usize,
    /// At most so many are to be out at once
    #[arg(long, default_value_t = 2)]
    most: usize,
    /// Faults that befall the one in charge
    #[arg(long, default_value_t = 3)]
    faults: usize,
    /// From which all faults are drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The node's program; by default this very one serves
    #[arg(long, value_name = "FILE")]
    node: Option<PathBuf>,
    /// Where configurations, disks, logs and the history go
    #[arg(long, value_name = "FOLDER", default_value = "target/lab/break-roll")]
    out: PathBuf,
}

#[derive(Args)]
struct BreakLeases {
    /// Processes
    #[arg(long, default_value_t = 9)]
    nodes: usize,
    /// The first so many are keepers: 1, 3, 5 or 7
    #[arg(long, default_value_t = 3)]
    keepers: usize,
    /// Faults, one after the other
    #[arg(long, default_value_t = 20)]
    rounds: usize,
    /// From which all faults are drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The lease's length, in milliseconds
    #[arg(long, default_value_t = 1000)]
    lease_ms: u64,
    /// How wrong clocks may run as the nodes are told, in parts in a million
    #[arg(long, default_value_t = 50_000)]
    drift: u32,
    /// How wrong clocks do run, in parts in a million
    #[arg(long, default_value_t = 50_000)]
    skew: u32,
    /// Only faults of these kinds
    #[arg(long, value_enum, value_delimiter = ',')]
    only: Vec<InjectedFaultKind>,
    /// These faults in their order, as TOML ([[fault]] with kind, for_ms, whom and size), in place of drawn ones
    #[arg(long, value_name = "FILE")]
    script: Option<PathBuf>,
    /// The node's program; by default this very one serves
    #[arg(long, value_name = "FILE")]
    node: Option<PathBuf>,
    /// Where configurations, disks, logs and the history go
    #[arg(long, value_name = "FOLDER", default_value = "target/lab/break-leases")]
    out: PathBuf,
}

#[derive(Args)]
struct Run {
    /// The experiment, as TOML
    file: PathBuf,
    /// Where results go; by default target/lab and the experiment's name
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
    /// Runs at once; by default one a core
    #[arg(long, value_name = "COUNT")]
    threads: Option<usize>,
    /// Run again what is there already
    #[arg(long)]
    again: bool,
    /// Write every request's path beside each result, as compressed JSON lines
    #[arg(long)]
    trace: bool,
    #[command(flatten)]
    figures: Figures,
}

#[derive(Args)]
struct Figures {
    /// What the tables show
    #[arg(long = "figure", value_enum, default_values_t = [Metric::Worth, Metric::FirstP99])]
    figures: Vec<Metric>,
}

#[derive(Args)]
struct Table {
    /// The folder of results
    folder: PathBuf,
    #[command(flatten)]
    figures: Figures,
}

#[derive(Args)]
struct UpCommand {
    /// Model servers
    #[arg(long, default_value_t = 3)]
    servers: usize,
    /// Nodes
    #[arg(long, default_value_t = 1)]
    nodes: usize,
    /// All of it ends by itself after so many seconds
    #[arg(long = "for", default_value_t = 3600, value_name = "SECONDS")]
    span: u64,
    /// The node's program; by default this one serves
    #[arg(long, value_name = "FILE")]
    node: Option<PathBuf>,
    /// Where configurations and logs go
    #[arg(long, default_value = "target/lab/up", value_name = "FOLDER")]
    out: PathBuf,
}

#[derive(Args)]
struct Load {
    /// The experiment, as TOML; of its policies only the project's own is played
    file: PathBuf,
    /// Where results go; by default target/lab and the experiment's name with -sockets
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
    /// The node's program; by default this one serves
    #[arg(long, value_name = "FILE")]
    node: Option<PathBuf>,
    #[command(flatten)]
    figures: Figures,
}

#[derive(Args)]
struct View {
    /// A node's log, as `poppykeel serve --log-format json` writes it
    #[arg(
        long,
        value_name = "FILE",
        conflicts_with = "experiment",
        required_unless_present = "experiment"
    )]
    log: Option<PathBuf>,
    /// An experiment, of which one run is shown
    #[arg(long, value_name = "FILE")]
    experiment: Option<PathBuf>,
    /// Which of its points, from 0
    #[arg(long, default_value_t = 0)]
    point: usize,
    /// The policy
    #[arg(long, default_value = "poppykeel")]
    policy: String,
    /// The seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many times as fast as real time
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
}

#[derive(Args)]
struct Report {
    /// The folder of results
    folder: PathBuf,
    /// The page; by default report.html in that folder
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
}

#[derive(Args)]
struct Compare {
    /// The results before
    before: PathBuf,
    /// The results after
    after: PathBuf,
    #[command(flatten)]
    figures: Figures,
}

fn title(figure: Metric) -> String {
    use clap::ValueEnum;
    let value = figure.to_possible_value();
    value
        .and_then(|v| v.get_help().map(|h| h.to_string()))
        .unwrap_or_default()
}

fn existing(folder: &Path) -> Result<Vec<RunResult>, String> {
    if !folder.is_dir() {
        return Err(format!(
            "results {}: there is no such folder",
            folder.display()
        ));
    }
    ResultsFolder::open(folder)
        .and_then(|results| results.all())
        .map_err(|e| e.to_string())
}

impl Run {
    fn run(&self) -> Result<(), String> {
        let experiment = Experiment::read(&self.file).map_err(|e| e.to_string())?;
        let folder = self
            .out
            .clone()
            .unwrap_or_else(|| Path::new("target/lab").join(&experiment.name));
        let results = ResultsFolder::open(&folder).map_err(|e| e.to_string())?;
        if let Some(threads) = self.threads {
            let pool = rayon::ThreadPoolBuilder::new()
                .num_threads(threads)
                .build_global();
            pool.map_err(|e| format!("threads: {e}"))?;
        }
        let style = ProgressStyle::with_template(
            "{bar:40} {pos}/{len} runs, {elapsed} of about {duration}",
        );
        let progress = ProgressBar::new(0).with_style(style.map_err(|e| e.to_string())?);
        let how = runner::RunOptions {
            repeats_existing: self.again,
            writes_traces: self.trace,
            progress: &progress,
        };
        let made = runner::run_missing(&experiment, &results, &how).map_err(|e| e.to_string())?;
        progress.finish_and_clear();
        println!(
            "{}: {made} runs made, all results in {}",
            experiment.name,
            folder.display()
        );
        show(&results.all().map_err(|e| e.to_string())?, &self.figures);
        Ok(())
    }
}

fn show(found: &[RunResult], figures: &Figures) {
    for figure in &figures.figures {
        println!("\n{}\n{}", title(*figure), table(found, *figure));
    }
}

impl Compare {
    fn run(&self) -> Result<(), String> {
        let (before, after) = (existing(&self.before)?, existing(&self.after)?);
        for figure in &self.figures.figures {
            println!(
                "\n{}: by how much it has changed\n{}",
                title(*figure),
                compare(&before, &after, *figure)
            );
        }
        Ok(())
    }
}

/// Runs what the sockets need on one thread.
fn on_sockets<T>(what: impl std::future::Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    tokio::task::LocalSet::new().block_on(&runtime.map_err(|e| format!("runtime: {e}"))?, what)
}

impl UpCommand {
    fn run(&self) -> Result<(), String> {
        let program = sockets::node_program(self.node.as_deref()).map_err(|e| e.to_string())?;
        let mut run = Description::default();
        (run.fleet.servers, run.fleet.nodes, run.fleet.zones) = (self.servers, self.nodes, 1);
        let run = run.check().map_err(|e| e.to_string())?;
        std::fs::create_dir_all(&self.out).map_err(|e| format!("{}: {e}", self.out.display()))?;
        on_sockets(async {
            let deployment = sockets::LocalDeployment::start(&run, &program, &self.out)
                .await
                .map_err(|e| e.to_string())?;
            println!(
                "{}\n{}\n\nCtrl-C ends all.",
                deployment.summary(),
                deployment.curl_command()
            );
            deployment
                .serve_for(std::time::Duration::from_secs(self.span))
                .await;
            Ok(())
        })
    }
}

impl Load {
    fn run(&self) -> Result<(), String> {
        let (experiment, program) = (
            Experiment::read(&self.file).map_err(|e| e.to_string())?,
            sockets::node_program(self.node.as_deref()).map_err(|e| e.to_string())?,
        );
        let name = format!("{}-sockets", experiment.name);
        let folder = self
            .out
            .clone()
            .unwrap_or_else(|| Path::new("target/lab").join(name));
        let results = ResultsFolder::open(&folder).map_err(|e| e.to_string())?;
        for (n, point) in experiment.points.iter().enumerate() {
            for seed in &experiment.seeds {
                let path = results.path(n, Policy::Poppykeel, *seed);
                if results.find(&path, &point.label, &point.run).is_some() {
                    continue;
                }
                eprintln!("{}, seed {seed}: {} s", point.label, point.run.load.seconds);
                let outcome = on_sockets(async {
                    let played = sockets::play_load(&point.run, &program, &folder, *seed).await;
                    played.map_err(|e| e.to_string())
                })?;
                let (label, policy, seed) = (point.label.clone(), Policy::Poppykeel, *seed);
                results
                    .write(
                        &path,
                        &RunResult {
                            label,
                            policy,
                            seed,
                            run: point.run.clone(),
                            outcome,
                        },
                    )
                    .map_err(|e| e.to_string())?;
            }
        }
        println!("{}: all results in {}", experiment.name, folder.display());
        show(&results.all().map_err(|e| e.to_string())?, &self.figures);
        Ok(())
    }
}

impl View {
    fn run(&self) -> Result<(), String> {
        if let Some(log) = &self.log {
            let title = log.display().to_string();
            let state = view::ViewState::new(&title, Vec::new());
            return view::follow_node_log(log, state).map_err(|e| e.to_string());
        }
        let Some(file) = &self.experiment else {
            return Err("view: give --log or --experiment".into());
        };
        let experiment = Experiment::read(file).map_err(|e| e.to_string())?;
        let count = experiment.points.len();
        let point = experiment.points.get(self.point);
        let point = point.ok_or_else(|| {
            format!(
                "--point: expected a number below {count}, not {}",
                self.point
            )
        })?;
        let policy = Policy::ALL
            .into_iter()
            .find(|p| p.to_string() == self.policy)
            .ok_or_else(|| {
                let all: Vec<String> = Policy::ALL.iter().map(Policy::to_string).collect();
                format!(
                    "--policy: expected one of {}, not {}",
                    all.join(", "),
                    self.policy
                )
            })?;
        let mut world =
            Simulation::new(&point.run, policy, self.seed).map_err(|e| e.to_string())?;
        let tenants = point.run.tenant.iter().map(|t| t.name.clone()).collect();
        let state = view::ViewState::new(
            &format!("{}: {}, {policy}", experiment.name, point.label),
            tenants,
        );
        view::show_simulation(
            &mut world,
            state,
            point.run.load.seconds,
            self.speed.max(0.01),
        )
        .map_err(|e| e.to_string())
    }
}

impl BreakLeases {
    fn run(&self) -> Result<bool, String> {
        let program = sockets::node_program(self.node.as_deref()).map_err(|e| e.to_string())?;
        let lease = std::time::Duration::from_millis(self.lease_ms);
        let shape = FleetShape {
            nodes: self.nodes,
            lease_servers: self.keepers,
            lease_duration: lease,
            allowed_drift_ppm: self.drift,
            clock_skew_ppm: self.skew,
            ..FleetShape::default()
        };
        let (rounds, seed, only) = (self.rounds, self.seed, self.only.clone());
        let script = self
            .script
            .as_deref()
            .map(InjectedFault::read_script)
            .transpose()
            .map_err(|e| e.to_string())?
            .unwrap_or_default();
        let wanted = LeaseScenario {
            shape,
            rounds,
            seed,
            only,
            script,
            rejects_old_epochs: true,
        };
        let found = on_sockets(async {
            let played = run_lease_scenario(&wanted, &program, &self.out).await;
            played.map_err(|e| e.to_string())
        })?;
        found
            .problems
            .iter()
            .chain(&found.verdict.overlaps)
            .for_each(|what| println!("{what}"));
        let [p50, p99] = [0.5, 0.99].map(|part| found.gap_quantile(part) as f64 / 1e6);
        println!("each round's longest time without an act: p50 {p50:.2} s, p99 {p99:.2} s");
        println!("{}", found.summary(seed));
        Ok(found.is_good())
    }
}

impl BreakRoll {
    fn run(&self) -> Result<bool, String> {
        let program = sockets::node_program(self.node.as_deref()).map_err(|e| e.to_string())?;
        let shape = FleetShape {
            nodes: self.nodes,
            report_interval: std::time::Duration::from_secs(1),
            ..FleetShape::default()
        };
        let wanted = RollingRestartScenario {
            shape,
            seed: self.seed,
            fault_count: self.faults,
            max_out: self.most,
        };
        let found = on_sockets(async {
            let played = run_rolling_restart_scenario(&wanted, &program, &self.out).await;
            played.map_err(|e| e.to_string())
        })?;
        println!(
            "nodes {}, been out {}, most out at once {} of {}, in charge {}, {:.1} s, seed {}",
            self.nodes,
            found.seen_out,
            found.max_out_at_once,
            self.most,
            found.coordinator_count,
            found.duration_s,
            self.seed
        );
        Ok(found.max_out_at_once <= self.most && found.ready_at_end == self.nodes)
    }
}

impl BreakBudgets {
    fn run(&self) -> Result<bool, String> {
        let program = sockets::node_program(self.node.as_deref()).map_err(|e| e.to_string())?;
        let shape = FleetShape {
            nodes: self.nodes,
            zones: self.zones,
            report_interval: std::time::Duration::from_secs(1),
            ..FleetShape::default()
        };
        let wanted = BudgetScenario {
            shape,
            rounds: self.rounds,
            seed: self.seed,
            only: self.only.clone(),
            retries: BudgetWhole {
                rate: self.rate,
                burst: self.burst,
            },
            division: self.division,
            first_node_load_factor: self.hot,
        };
        let found = on_sockets(async {
            let played = run_budget_scenario(&wanted, &program, &self.out).await;
            played.map_err(|e| e.to_string())
        })?;
        for (name, c) in [
            ("repeats", found.repeats),
            ("probes", found.probes),
            ("crossings", found.cross_zone),
        ] {
            println!(
                "{name}: {} at the servers, worst window {:.2} of its bound, busiest second {:.2} of the rate",
                c.count, c.worst_window, c.busiest_second
            );
        }
        println!(
            "requests {} of {} answered whole; crossings {} by the servers, {} by the nodes",
            found.completed_requests,
            found.sent_requests,
            found.cross_zone.count,
            found.reported_cross_zone
        );
        println!(
            "rounds {}, windows checked {}, worst window {:.2} of its bound, units lost {:.1}, seed {}",
            found.rounds,
            found.window_count(),
            found.worst_window(),
            found.lost_retry_rate,
            self.seed
        );
        Ok(found.worst_window() <= 1.0)
    }
}

impl Report {
    fn run(&self) -> Result<(), String> {
        let found = existing(&self.folder)?;
        let name = self
            .folder
            .file_name()
            .map(|n| n.to_string_lossy().into_owned())
            .unwrap_or_default();
        let out = self
            .out
            .clone()
            .unwrap_or_else(|| self.folder.join("report.html"));
        let page = poppykeel_testbed::report::page(&name, &found)?;
        std::fs::write(&out, page).map_err(|e| format!("report {}: {e}", out.display()))?;
        println!("{}", out.display());
        Ok(())
    }
}

fn check(file: &Path) -> Result<(), String> {
    let e = Experiment::read(file).map_err(|e| e.to_string())?;
    let runs = e.points.len() * e.policies.len() * e.seeds.len();
    println!(
        "{}: {} points, {} policies, {} seeds: {runs} runs",
        e.name,
        e.points.len(),
        e.policies.len(),
        e.seeds.len()
    );
    for point in &e.points {
        let (f, l) = (&point.run.fleet, &point.run.load);
        let rate = l.per_server * f.servers as f64;
        println!(
            "  {}: {} servers, {} nodes, {rate:.0} requests/s for {} s",
            point.label, f.servers, f.nodes, l.seconds
        );
    }
    Ok(())
}

fn main() -> ExitCode {
    // The node, for `up` and `load`: one program is all that a new machine has to build.
    if std::env::args().nth(1).as_deref() == Some("serve") {
        return poppykeel::program::main();
    }
    let done = match TestbedCli::parse().command {
        Command::Run(run) => run.run(),
        Command::Table(table) => existing(&table.folder).map(|found| show(&found, &table.figures)),
        Command::Compare(compare) => compare.run(),
        Command::Report(report) => report.run(),
        Command::Up(up) => up.run(),
        Command::Load(load) => load.run(),
        Command::View(view) => view.run(),
        Command::Break(Break { what }) => match what.run() {
            Ok(true) => Ok(()),
            // What there is to say has been shown.
            Ok(false) => return ExitCode::FAILURE,
            Err(e) => Err(e),
        },
        Command::Check { file } => check(&file),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("poppykeel-testbed: {text}");
            ExitCode::FAILURE
        }
    }
}
