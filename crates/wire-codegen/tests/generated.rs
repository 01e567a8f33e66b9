//! The committed message types belong to the committed protocol file.

use radishpaddle_wire_codegen::{generate, wire_directory};

/// Guards against a change of `peer.proto` without a new `generated.rs`.
#[test]
fn generated_code_is_current() {
    let committed = std::fs::read_to_string(wire_directory().join("src/generated.rs")).unwrap();

    let generated = generate().unwrap();

    assert!(
        committed == generated,
        "run: cargo run -p radishpaddle-wire-codegen"
    );
}
