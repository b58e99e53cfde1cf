"""Sends 200 streaming requests with the public `openai` client over three stub model servers, one of them faulty.

    pip install -r benches/openai/requirements.txt
    cargo build --release --workspace --locked
    python benches/openai/client_outcomes.py [--node target/release/poppykeel] [--operator FILE]

It prints how many clients got a complete response, a truncated one, or an error, and how many truncated responses the client
library reported as complete. It kills the node and the stub servers that it starts.
"""

import argparse, concurrent.futures, json, os, re, subprocess, tempfile, threading
import openai

FAULTS = {
    "cuts after 6 of 12 events": "{ cut-bytes = { after = 1000 } }",
    "is silent for 3 s in every stream": "{ stall = { after = 6, ms = 3050 } }",
    "is silent for 20 s in every stream": "{ stall = { after = 6, ms = 20000 } }",
}
SCRIPT_SETTINGS = "first_ms = 5\ngap_ms = 20\ntokens = 12\n"


def entry(number, addr):
    return {"id": f"s-{number}", "addr": addr, "zone": "a", "kind": "k", "cell": 0, "state": "up",
            "weight": 1.0, "started_ms": 0}


def send_request(base, number):
    """Sends a request; returns its outcome and the number of content pieces received."""
    client = openai.OpenAI(base_url=f"http://{base}/v1", api_key="none", max_retries=0, timeout=30)
    headers = {"Req-Id": f"{number:016x}", "Req-Kind": "chat", "Req-Deadline": "10"}
    pieces, finish = 0, None
    try:
        stream = client.chat.completions.create(
            model="chat", stream=True, max_tokens=12, extra_headers=headers,
            messages=[{"role": "user", "content": f"seen {number}"}])
        for chunk in stream:
            for choice in chunk.choices:
                pieces += bool(choice.delta.content)
                finish = choice.finish_reason or finish
        return ("complete" if pieces == 12 and finish else "truncated, reported as complete"), pieces
    except (openai.APIError, openai.APIConnectionError):
        pass
    except Exception as error:  # raised by the HTTP transport if the connection ends early
        if "peer closed" not in str(error) and "incomplete" not in str(error):
            raise
    return ("truncated, reported as an error" if pieces else "error without content"), pieces


def run(args, what, fault, files):
    scripts = [SCRIPT_SETTINGS + f"[[rule]]\nfault = {fault}\n", SCRIPT_SETTINGS, SCRIPT_SETTINGS]
    paths = []
    for number, text in enumerate(scripts):
        paths.append(os.path.join(files, f"{number}.toml"))
        with open(paths[-1], "w") as file:
            file.write(text)
    script_args = [word for path in paths for word in ("--script", path)]
    servers = subprocess.Popen([args.standin, *script_args, "--for", "120"], stdout=subprocess.PIPE,
                               stdin=subprocess.DEVNULL, text=True)
    node = None
    try:
        addrs = [re.search(r"on (\S+)", servers.stdout.readline()).group(1) for _ in paths]
        with open(args.config) as file:
            text = file.read().replace("DISCOVERY", "127.0.0.1:1").replace("REPLICA", addrs[0])
        config = json.loads(text)
        config["known"]["servers"] = [entry(*pair) for pair in enumerate(addrs)]
        path = os.path.join(files, "config.json")
        with open(path, "w") as file:
            json.dump(config, file)
        operator = ["--operator", args.operator] if args.operator else []
        node = subprocess.Popen([args.node, "serve", "--config", path, *operator], stderr=subprocess.PIPE, text=True)
        base = next(m.group(1) for m in (re.search(r"serving on (\S+)", line) for line in node.stderr) if m)
        threading.Thread(target=lambda: [None for _ in node.stderr], daemon=True).start()
        outcomes = {}
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            for outcome, _ in pool.map(lambda number: send_request(base, number), range(1, 201)):
                outcomes[outcome] = outcomes.get(outcome, 0) + 1
        print(f"one of three {what}: {outcomes}", flush=True)
    finally:
        for process in filter(None, (node, servers)):
            process.kill()
            process.wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--node", default="target/release/poppykeel")
    parser.add_argument("--standin", default="target/release/poppykeel-stub-model-server")
    parser.add_argument("--config", default="tests/exchanges/config.json")
    parser.add_argument("--operator")
    args = parser.parse_args()
    for what, fault in FAULTS.items():
        with tempfile.TemporaryDirectory() as files:
            run(args, what, fault, files)
