.PHONY: build test lint run toy system

build:
	cargo build --release

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# Against the toy servers of `make toy`, in another terminal.
run: build
	BALANCER_CONFIG=examples/gateway.json target/release/fennelgauge-gateway

toy:
	cargo run --example toy

# The whole serving tier on this machine, with stand-ins for the platform and its servers; Ctrl-C ends it.
system:
	cargo build --profile system --locked -p fennelgauge-data-plane -p fennelgauge-control-plane -p fennelgauge-standins
	target/system/fennelgauge-system
