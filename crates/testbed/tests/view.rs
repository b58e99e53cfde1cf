//! The view, rendered on ratatui's test backend.

use poppykeel_testbed::emulator::description::RunDescription;
use poppykeel_testbed::emulator::policies::Policy;
use poppykeel_testbed::emulator::Simulation;
use poppykeel_testbed::view::{draw, ConcurrencyUse, TenantQueue, ViewState};
use ratatui::backend::TestBackend;
use ratatui::Terminal;

fn screen(state: &ViewState, width: u16, height: u16, skipped_rows: usize) -> String {
    let mut terminal = Terminal::new(TestBackend::new(width, height)).unwrap();
    terminal
        .draw(|frame| draw(frame, state, skipped_rows))
        .unwrap();
    let buffer = terminal.backend().buffer();
    let line = |y: u16| {
        (0..width)
            .map(|x| buffer[(x, y)].symbol())
            .collect::<String>()
    };
    (0..height).map(|y| line(y) + "\n").collect()
}

#[test]
fn simulation_view_shows_rates_queues_and_servers() {
    let mut run = RunDescription::default();
    (run.fleet.servers, run.load.per_server, run.load.seconds) = (5, 30.0, 10.0);
    let run = run.check().unwrap();
    let mut simulation = Simulation::new(&run, Policy::Poppykeel, 1).unwrap();
    let mut state = ViewState::new("a run", vec!["all".into()]);
    while simulation.now() < 6_000_000 && simulation.process_events(500) {
        state.update_from_simulation(&mut simulation, 10.0);
    }
    let text = screen(&state, 110, 24, 0);
    for wanted in [
        "a run",
        "of 10 s",
        "tries",
        "refused",
        "/s",
        "served worth",
        "m-4",
        "up",
        "all ",
        "5 from 1",
    ] {
        assert!(text.contains(wanted), "{wanted}:\n{text}");
    }
    assert!(
        state.queues()[0].queued > 0 && state.rows().iter().any(|row| row.running > 0),
        "{:?}",
        state.queues()
    );
    assert!(!screen(&state, 110, 24, 3).contains("m-2"));
}

#[test]
fn view_fits_terminals_of_any_size() {
    let mut state = ViewState::new("any", vec![]);
    state.apply_log_line(r#"{"message":"summary","arrived":1,"served":1}"#);
    for (width, height) in [(1, 1), (10, 3), (40, 12), (300, 80)] {
        screen(&state, width, height, 7);
    }
}

#[test]
fn node_view_shows_counts_queues_and_streams_from_the_log() {
    let mut state = ViewState::new("node", vec!["acme".into(), "zeta".into()]);
    let summary = |uptime: u64, arrived: u64, served: u64| {
        format!(
            r#"{{"message":"summary","uptime_s":{uptime},"arrived":{arrived},"served":{served},"refused":{},"window":12.5,"out":7,"waiting":"[3, 0]"}}"#,
            arrived - served
        )
    };
    state.apply_log_line(&summary(10, 100, 100));
    state.apply_log_line("no JSON at all");
    state.apply_log_line(&summary(20, 300, 200));
    state.apply_log_line(r#"{"message":"streams","live":4,"whole":200,"stalled":1,"broken":2}"#);
    state.apply_log_line(r#"{"message":"streams of a replica","replica":"s-1","flowing":3,"slow":1,"gap_p50_ms":20,"limit_ms":3000}"#);
    state.apply_log_line(r#"{"message":"list changed","name":"s-1","state":"Draining"}"#);
    let text = screen(&state, 120, 20, 0);
    for wanted in [
        "draining",
        "20.0/s",
        "10.0/s",
        "window 12.5, out 7",
        "acme",
        "4 live",
        "s-1",
        "limit 3000 ms",
        "50%",
    ] {
        assert!(text.contains(wanted), "{wanted}:\n{text}");
    }
}

#[test]
fn summary_is_read_by_current_and_earlier_field_names() {
    let lines = [
        [
            r#"{"message":"summary","uptime_s":10,"concurrency_limit":9.5,"in_flight":2,"queued_by_tenant":"[0, 1]","arrived":100,"attempts_started":90,"completed":80,"rejected":7,"failed":3,"broken":2,"disconnected":1}"#,
            r#"{"message":"summary","uptime_s":20,"concurrency_limit":12.5,"in_flight":7,"queued_by_tenant":"[3, 0]","arrived":300,"attempts_started":280,"completed":200,"rejected":57,"failed":13,"broken":9,"disconnected":4}"#,
        ],
        [
            r#"{"message":"summary","uptime_s":10,"window":9.5,"out":2,"waiting":"[0, 1]","arrived":100,"sent":90,"served":80,"refused":7,"failed":3,"broken":2,"gone":1}"#,
            r#"{"message":"summary","uptime_s":20,"window":12.5,"out":7,"waiting":"[3, 0]","arrived":300,"sent":280,"served":200,"refused":57,"failed":13,"broken":9,"gone":4}"#,
        ],
    ];
    let [current, earlier] = lines.map(|lines| {
        let mut state = ViewState::new("node", vec!["acme".into(), "zeta".into()]);
        lines.iter().for_each(|line| state.apply_log_line(line));
        state
    });
    assert_eq!(current, earlier);
    let concurrency = ConcurrencyUse {
        limit: 12.5,
        in_flight: 7,
    };
    assert_eq!(current.concurrency(), Some(concurrency));
    let served = current.counts().iter().find(|count| count.name == "served");
    assert_eq!(served.map(|count| count.count), Some(200));
    let queue = TenantQueue {
        tenant: "acme".to_string(),
        queued: 3,
    };
    assert_eq!(current.queues()[0], queue);
}
