# The project's tasks.

# Format, lint and test.
default: fmt lint test

# Format the code.
fmt:
    cargo fmt --all

# Check the format and the lints.
lint:
    cargo fmt --all --check
    cargo clippy --workspace --all-targets --locked -- -D warnings

# Run all tests.
test:
    cargo test --workspace --locked

# Show both deployments of the brief under load.
demo:
    cargo build --release --workspace --locked && target/release/standins demo
