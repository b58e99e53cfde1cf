#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use super::*;

fn job(n: u64, prompt: u32, answer: u32) -> ServerJob {
    ServerJob {
        key: (n, 0),
        session: n,
        prefix: (0, 0),
        prompt,
        answer,
    }
}

fn run(server: &mut ModelServer, until: Micros) -> Vec<(Micros, ServerOutput)> {
    let mut all = Vec::new();
    while let Some(due) = server.due().filter(|d| *d <= until) {
        let mut said = Vec::new();
        server.wake(due, &mut said);
        all.extend(said.into_iter().map(|s| (due, s)));
    }
    all
}

#[test]
fn a_lone_request_takes_its_prompt_and_a_step_a_token() {
    let mut server = ModelServer::new(ServerProfile {
        prompt_token_us: 10.0,
        answer_us: 0.0,
        ..ServerProfile::default()
    });
    assert!(server.take(0, job(1, 1000, 5)));
    let said = run(&mut server, Micros::MAX);
    // Two chunks: 512 and 488 tokens; then four more tokens.
    let first = 20_000 + 10_000;
    assert_eq!(
        said,
        [
            (first, ServerOutput::First((1, 0))),
            (first + 40_000, ServerOutput::Done((1, 0), 0))
        ]
    );
    assert_eq!(server.gaps().map(|g| g.1).sum::<u64>(), 4);
    // The second turn finds the first kept.
    server.take(
        100_000,
        ServerJob {
            session: 1,
            ..job(2, 1200, 1)
        },
    );
    assert_eq!(
        run(&mut server, Micros::MAX).last().map(|s| s.1),
        Some(ServerOutput::Done((2, 0), 1005))
    );
}

#[test]
fn rows_of_steps_come_to_the_same_as_steps_one_by_one() {
    // A request that joins in the middle of a row cuts it; one server is cut at every step.
    let mut servers = [
        ModelServer::new(ServerProfile::default()),
        ModelServer::new(ServerProfile::default()),
    ];
    let mut all = [Vec::new(), Vec::new()];
    for (n, server) in servers.iter_mut().enumerate() {
        for k in 0..30_u64 {
            let at = k * 37_001;
            if n == 1 {
                for t in (at.saturating_sub(37_001)..at).step_by(5_000) {
                    all[n].extend(run(server, t));
                    server.cut(t);
                }
            }
            all[n].extend(run(server, at));
            server.take(at, job(k, 300 + k as u32, 20));
        }
        all[n].extend(run(server, Micros::MAX));
    }
    assert_eq!(all[0], all[1]);
    assert_eq!(all[0].len(), 60);
}

#[test]
fn short_memory_preempts_the_newest_and_loses_nothing() {
    let mut server = ModelServer::new(ServerProfile {
        memory_tokens: 1000,
        ..ServerProfile::default()
    });
    (0..4).for_each(|n| assert!(server.take(0, job(n, 200, 200))));
    let said = run(&mut server, Micros::MAX);
    assert!(server.preempted > 0);
    for n in 0..4 {
        let of = |s: ServerOutput| said.iter().filter(|x| x.1 == s).count();
        assert_eq!(
            (
                of(ServerOutput::First((n, 0))),
                of(ServerOutput::Done((n, 0), 0))
            ),
            (1, 1),
            "{said:?}"
        );
    }
}

#[test]
fn stalls_slowness_cold_starts_and_crashes_show() {
    let done = |act: fn(&mut ModelServer)| {
        let mut server = ModelServer::new(ServerProfile::default());
        act(&mut server);
        server.take(0, job(1, 100, 50));
        run(&mut server, Micros::MAX).last().map(|s| s.0).unwrap()
    };
    let plain = done(|_| {});
    assert!(done(|s| s.slow(0, 3.0)) > plain * 29 / 10);
    assert!(done(|s| s.start(0)) > plain * 3);
    assert_eq!(done(|s| s.stall(0, 1_000_000)), plain + 1_000_000);
    let mut server = ModelServer::new(ServerProfile {
        queue: 2,
        slots: 1,
        ..ServerProfile::default()
    });
    assert_eq!(
        (0..4)
            .map(|n| server.take(0, job(n, 10, 10)))
            .collect::<Vec<_>>(),
        [true, true, true, false]
    );
    assert_eq!(server.crash().len(), 3);
    assert_eq!((server.due(), server.load()), (None, (0, 0)));
}
