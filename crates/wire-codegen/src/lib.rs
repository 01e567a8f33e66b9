//! Generates the message types of the peer protocol from `peer.proto`. It uses the `protox`
//! compiler, so that `protoc` need not be installed.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result};

/// Path of the `wire` crate.
#[must_use]
pub fn wire_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire")
}

/// Generates the Rust source of the message types.
///
/// # Errors
///
/// Fails when the `.proto` file does not compile.
pub fn generate() -> Result<String> {
    let proto_directory = wire_directory().join("proto");
    let descriptors =
        protox::compile(["peer.proto"], [proto_directory]).context("compiling peer.proto")?;
    let modules = descriptors
        .file
        .into_iter()
        .map(|file| {
            let module = prost_build::Module::from_protobuf_package_name(file.package());
            (module, file)
        })
        .collect();
    let sources = prost_build::Config::new().generate(modules)?;
    Ok(sources.into_values().collect())
}
