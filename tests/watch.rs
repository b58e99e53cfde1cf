//! The watch of discovery's list against a service on a real socket that falls silent, resets or moves when told.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poppykeel::program::config::Config;
use poppykeel::transport::clock::Clock;
use poppykeel::transport::discovery::Watch;
use poppykeel::transport::messages::DispatcherMessage;
use poppykeel::transport::Bounds;
use poppykeel_endpoints::Told;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Only a hang runs into this.
const PATIENCE: Duration = Duration::from_secs(20);
const NOTHING: &str = r#"{"version":41,"full":false,"servers":[]}"#;
const DRAIN: &str = r#"{
  "version": 42,
  "full": false,
  "servers": [
    {"id": "s-1", "addr": "127.0.0.1:1", "zone": "a", "kind": "k", "cell": 0, "state": "draining"}
  ]
}"#;

/// The node's bounds but for a long poll that is over soon, with `slack` for the answer.
fn bounds(slack: Duration) -> Rc<Bounds> {
    let config = include_str!("exchanges/config.json").replace("REPLICA", "127.0.0.1:1");
    let config = Config::read(&config.replace("DISCOVERY", "127.0.0.1:2"), &[]).unwrap();
    let watch = Duration::from_millis(50);
    let retry_watch = Duration::from_millis(30);
    Rc::new(Bounds {
        watch,
        watch_slack: slack,
        retry_watch,
        retry_slack: slack,
        ..config.bounds
    })
}

/// Takes the next call, on the connection given or on a new one.
async fn called(service: &TcpListener, on: Option<TcpStream>) -> (TcpStream, String) {
    let call = async {
        let mut stream = match on {
            Some(stream) => stream,
            None => service.accept().await.unwrap().0,
        };
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n") {
            text.push(stream.read_u8().await.unwrap());
        }
        (stream, String::from_utf8(text).unwrap())
    };
    tokio::time::timeout(PATIENCE, call)
        .await
        .expect("the node calls")
}

async fn answer(stream: &mut TcpStream, body: &str) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).await.unwrap();
}

async fn told(core: &mut mpsc::Receiver<DispatcherMessage>) -> Told {
    match tokio::time::timeout(PATIENCE, core.recv())
        .await
        .expect("the core is told")
    {
        Some(DispatcherMessage::EndpointUpdate { update: told, .. }) => told,
        _ => panic!("something else was told"),
    }
}

/// One watch of a service: what the service sees, and what the core is told.
async fn watching(
    slack: Duration,
    pushed: bool,
) -> (TcpListener, Watch, mpsc::Receiver<DispatcherMessage>) {
    let service = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (tell, core) = mpsc::channel(16);
    let watch = Watch::new(
        service.local_addr().unwrap(),
        bounds(slack),
        tell,
        Clock::start(),
    );
    watch.version(41);
    let watch = if pushed { watch.pushed() } else { watch };
    watch.start();
    (service, watch, core)
}

/// Guards against a node that sends on to servers that drain: the wait for the module's next turn to ask, after the
/// silence itself, was up to half of what the settings give for asking.
#[tokio::test]
async fn a_watch_that_falls_silent_is_opened_anew_before_the_core_hears_of_a_failure() {
    let test = async {
        for begun in [
            "",
            "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"version\":42,\"full\"",
        ] {
            let (service, _watch, mut core) = watching(Duration::from_secs(2), false).await;
            let (mut silent, text) = called(&service, None).await;
            assert!(
                text.starts_with("GET /v1/servers?since=41&timeout_ms=50 "),
                "{text}"
            );
            // It stays open and says nothing more: also in the middle of an answer.
            silent.write_all(begun.as_bytes()).await.unwrap();
            let (mut anew, text) = called(&service, None).await;
            assert!(
                text.starts_with("GET /v1/servers?since=41&timeout_ms=0 "),
                "{text}"
            );
            answer(&mut anew, DRAIN).await;
            let Told::Changes(changes) = told(&mut core).await else {
                panic!("the core heard of a failure")
            };
            assert_eq!(changes[0].name, "s-1");
            // From here on it waits again, on the connection that answers.
            let (_anew, text) = called(&service, Some(anew)).await;
            assert!(
                text.starts_with("GET /v1/servers?since=42&timeout_ms=50 "),
                "{text}"
            );
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a herd on a service that is cut off: one new call, and then when to ask is the module's to say.
#[tokio::test]
async fn a_service_that_stays_silent_gets_one_new_call_and_is_then_left_to_the_module() {
    let test = async {
        let (service, watch, mut core) = watching(Duration::from_millis(200), false).await;
        let _silent = called(&service, None).await;
        let (_silent_too, text) = called(&service, None).await;
        assert!(text.contains("timeout_ms=0 "), "{text}");
        assert_eq!(told(&mut core).await, Told::Failed);
        let none = tokio::time::timeout(Duration::from_millis(300), service.accept()).await;
        assert!(none.is_err(), "called again unasked");
        // Asked to, it finds out at once whether anybody answers.
        watch.start();
        let (mut anew, text) = called(&service, None).await;
        assert!(text.contains("timeout_ms=0 "), "{text}");
        answer(&mut anew, NOTHING).await;
        assert_eq!(told(&mut core).await, Told::Changes(Vec::new()));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a herd on a service that went down: its watches end together, and must not come back together.
#[tokio::test]
async fn a_watch_that_is_reset_is_the_modules_to_open() {
    let test = async {
        let (service, _watch, mut core) = watching(Duration::from_secs(2), false).await;
        let (reset, _) = called(&service, None).await;
        reset.set_zero_linger().unwrap();
        drop(reset);
        assert_eq!(told(&mut core).await, Told::Failed);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a call that waits in the dark for a whole long poll after the service was down: a refused call is
/// followed by one that waits for little, and one that falls silent by one that waits for nothing.
#[tokio::test]
async fn after_a_refusal_the_next_call_waits_for_little_and_its_silence_shows_soon() {
    let refusals = [
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 90\r\nConnection: close\r\n\r\n{\"version\":42,\"full\"",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nno list\r\n",
    ];
    let test = async {
        for refusal in refusals {
            let (service, watch, mut core) = watching(Duration::from_secs(2), false).await;
            let (mut refused, _) = called(&service, None).await;
            refused.write_all(refusal.as_bytes()).await.unwrap();
            drop(refused);
            assert_eq!(told(&mut core).await, Told::Failed);
            // When to call again is the module's to say.
            watch.start();
            let (_silent, text) = called(&service, None).await;
            assert!(text.contains("since=41&timeout_ms=30 "), "{text}");
            let (mut anew, text) = called(&service, None).await;
            assert!(text.contains("since=41&timeout_ms=0 "), "{text}");
            answer(&mut anew, DRAIN).await;
            assert!(matches!(told(&mut core).await, Told::Changes(changes) if changes.len() == 1));
            let (_anew, text) = called(&service, Some(anew)).await;
            assert!(text.contains("since=42&timeout_ms=50 "), "{text}");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against answers in a form that is rare: no change at all, the whole list where changes were asked for, and a
/// list with an older number, as a service has that lost its count. What it says last is what holds.
#[tokio::test]
async fn whatever_form_an_answer_has_the_next_call_follows_its_number() {
    let whole = DRAIN.replace("false", "true");
    let older = whole.replace("42", "7");
    let test = async {
        for (body, since, entries, full) in [
            (NOTHING, 41, 0, false),
            (whole.as_str(), 42, 1, true),
            (older.as_str(), 7, 1, true),
        ] {
            let (service, _watch, mut core) = watching(Duration::from_secs(2), false).await;
            let (mut stream, _) = called(&service, None).await;
            answer(&mut stream, body).await;
            match told(&mut core).await {
                Told::Whole(list) => assert!(full && list.len() == entries),
                Told::Changes(list) => assert!(!full && list.len() == entries),
                Told::Failed => panic!("the core heard of a failure"),
            }
            let (_stream, text) = called(&service, Some(stream)).await;
            assert!(
                text.contains(&format!("since={since}&timeout_ms=50 ")),
                "{text}"
            );
        }
    };
    LocalSet::new().run_until(test).await;
}

/// The time from a refused call to the list, while it can be had, is under 6 s by the node's own figures alone.
#[test]
fn a_refused_call_a_silent_one_and_a_new_one_fit_into_six_seconds() {
    let config = include_str!("exchanges/config.json").replace("REPLICA", "127.0.0.1:1");
    let bounds = Config::read(&config.replace("DISCOVERY", "127.0.0.1:2"), &[])
        .unwrap()
        .bounds;
    assert!(bounds.retry_watch + bounds.retry_slack < Duration::from_secs(6));
    assert!(
        bounds.retry_slack >= Duration::from_secs(2),
        "a crowded service answers after 2 s"
    );
}

/// Guards against a new address that inherits a call, or the pause after a failed one, from the old service.
#[tokio::test]
async fn a_watch_that_moves_while_a_call_waits_calls_at_the_new_address_at_once() {
    let test = async {
        let (old, watch, mut core) = watching(PATIENCE, false).await;
        let (_waits, _) = called(&old, None).await;
        let new = TcpListener::bind("127.0.0.1:0").await.unwrap();
        watch.move_to(new.local_addr().unwrap());
        let (mut moved, _) = called(&new, None).await;
        answer(&mut moved, DRAIN).await;
        assert!(matches!(told(&mut core).await, Told::Changes(changes) if changes.len() == 1));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against an agent that was silent while discovery was down: what it has counts from the moment in which it
/// speaks again, so it is called again and again, and no call waits for long.
#[tokio::test]
async fn an_agent_that_is_silent_is_called_until_it_speaks() {
    let test = async {
        let (agent, _watch, mut core) = watching(Duration::from_millis(200), true).await;
        let mut held = vec![called(&agent, None).await.0];
        for _ in 0..3 {
            let (silent, text) = called(&agent, None).await;
            assert!(text.contains("timeout_ms=0 "), "{text}");
            held.push(silent);
        }
        let (mut speaks, _) = called(&agent, None).await;
        answer(&mut speaks, DRAIN).await;
        loop {
            match told(&mut core).await {
                Told::Failed => {}
                Told::Changes(changes) => break assert_eq!(changes[0].name, "s-1"),
                Told::Whole(_) => panic!("never told"),
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a drain that is heeded late since a call hung at an agent that was silent for a moment: what the agent
/// has counts from when it speaks again, so a call in the dark must be over, and made anew, well within the time for
/// draining. The time of either kind of call is the node's own, the answer is the agent's.
#[test]
fn a_call_that_an_agent_keeps_in_the_dark_is_over_within_the_time_for_draining() {
    for grace in [0.2, 0.35, 0.5, 0.75, 3.0, 60.0] {
        let config = include_str!("exchanges/config.json")
            .replace("REPLICA", "127.0.0.1:1")
            .replace("DISCOVERY", "127.0.0.1:2")
            .replace("on_request", "pushed")
            .replace("\"drainGrace\":0.5", &format!("\"drainGrace\":{grace}"));
        let bounds = Config::read(&config, &[]).unwrap().bounds;
        let dark = bounds.watch + bounds.watch_slack;
        assert!(dark.as_secs_f64() <= 0.76 * grace, "{dark:?} of {grace} s");
        assert!(
            dark >= Duration::from_millis(100),
            "{dark:?}: the agent is called all the time"
        );
    }
}
