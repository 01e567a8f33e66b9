//! Test that the committed message types match the committed `peer.proto`.

use radishpaddle_wire_codegen::{generate, wire_directory};

/// Guards against a change of `peer.proto` without a regenerated `generated.rs`.
#[test]
fn generated_code_is_current() {
    let committed = std::fs::read_to_string(wire_directory().join("src/generated.rs")).unwrap();

    let generated = generate().unwrap();

    assert!(
        committed == generated,
        "run: cargo run -p radishpaddle-wire-codegen"
    );
}
