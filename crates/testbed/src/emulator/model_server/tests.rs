use super::*;

fn first_attempt(request: u64) -> AttemptKey {
    AttemptKey {
        request: RequestId(request),
        attempt: 0,
    }
}

fn first_token(request: u64) -> ServerOutput {
    ServerOutput::FirstToken(first_attempt(request))
}

fn completed(request: u64, cached_tokens: u32) -> ServerOutput {
    ServerOutput::Completed {
        key: first_attempt(request),
        cached_tokens,
    }
}

fn job(request: u64, prompt_tokens: u32, answer_tokens: u32) -> ServerJob {
    ServerJob {
        key: first_attempt(request),
        session: request,
        prefix: SharedPrefix::default(),
        prompt_tokens,
        answer_tokens,
    }
}

fn run(server: &mut ModelServer, until: Micros) -> Vec<(Micros, ServerOutput)> {
    let mut timed_outputs = Vec::new();
    while let Some(due) = server.next_timer().filter(|due| *due <= until) {
        let mut outputs = Vec::new();
        server.on_timer(due, &mut outputs);
        timed_outputs.extend(outputs.into_iter().map(|output| (due, output)));
    }
    timed_outputs
}

#[test]
fn prefills_in_chunks_and_generates_one_token_per_step() {
    let mut server = ModelServer::new(ServerProfile {
        prompt_token_us: 10.0,
        answer_us: 0.0,
        ..ServerProfile::default()
    });
    assert!(server.enqueue(0, job(1, 1000, 5)));
    let outputs = run(&mut server, Micros::MAX);
    // Two chunks of 512 and 488 tokens, then four more tokens.
    let first = 20_000 + 10_000;
    assert_eq!(
        outputs,
        [(first, first_token(1)), (first + 40_000, completed(1, 0))]
    );
    assert_eq!(
        server.take_token_gaps().map(|gaps| gaps.count).sum::<u64>(),
        4
    );
    // The second turn finds the first one in the cache.
    server.enqueue(
        100_000,
        ServerJob {
            session: 1,
            ..job(2, 1200, 1)
        },
    );
    assert_eq!(
        run(&mut server, Micros::MAX).last().map(|output| output.1),
        Some(completed(2, 1005))
    );
}

#[test]
fn run_of_steps_gives_the_same_outputs_as_single_steps() {
    // A request that joins during a run of steps shortens it. The second server is also interrupted between the
    // arrivals.
    let mut servers = [
        ModelServer::new(ServerProfile::default()),
        ModelServer::new(ServerProfile::default()),
    ];
    let mut outputs = [Vec::new(), Vec::new()];
    for (n, server) in servers.iter_mut().enumerate() {
        for request in 0..30_u64 {
            let at = request * 37_001;
            if n == 1 {
                for interruption in (at.saturating_sub(37_001)..at).step_by(5_000) {
                    outputs[n].extend(run(server, interruption));
                    server.end_run_with_current_step(interruption);
                }
            }
            outputs[n].extend(run(server, at));
            server.enqueue(at, job(request, 300 + request as u32, 20));
        }
        outputs[n].extend(run(server, Micros::MAX));
    }
    assert_eq!(outputs[0], outputs[1]);
    assert_eq!(outputs[0].len(), 60);
}

#[test]
fn preempts_the_newest_request_without_losing_any() {
    let mut server = ModelServer::new(ServerProfile {
        memory_tokens: 1000,
        ..ServerProfile::default()
    });
    (0..4).for_each(|n| assert!(server.enqueue(0, job(n, 200, 200))));
    let outputs = run(&mut server, Micros::MAX);
    assert!(server.preemption_count() > 0);
    for n in 0..4 {
        let count_of =
            |expected: ServerOutput| outputs.iter().filter(|output| output.1 == expected).count();
        assert_eq!(
            (count_of(first_token(n)), count_of(completed(n, 0))),
            (1, 1),
            "{outputs:?}"
        );
    }
}

#[test]
fn faults_delay_or_drop_requests_and_a_full_queue_rejects() {
    let completion_time = |inject_fault: fn(&mut ModelServer)| {
        let mut server = ModelServer::new(ServerProfile::default());
        inject_fault(&mut server);
        server.enqueue(0, job(1, 100, 50));
        run(&mut server, Micros::MAX)
            .last()
            .map(|output| output.0)
            .unwrap()
    };
    let without_fault = completion_time(|_| {});
    assert!(completion_time(|server| server.set_slowdown(0, 3.0)) > without_fault * 29 / 10);
    assert!(completion_time(|server| server.start(0)) > without_fault * 3);
    assert_eq!(
        completion_time(|server| server.stall(0, 1_000_000)),
        without_fault + 1_000_000
    );
    let mut server = ModelServer::new(ServerProfile {
        queue: 2,
        slots: 1,
        ..ServerProfile::default()
    });
    assert_eq!(
        (0..4)
            .map(|n| server.enqueue(0, job(n, 10, 10)))
            .collect::<Vec<_>>(),
        [true, true, true, false]
    );
    assert_eq!(server.crash().len(), 3);
    assert_eq!(
        (server.next_timer(), server.request_counts()),
        (None, RequestCounts::default())
    );
}
