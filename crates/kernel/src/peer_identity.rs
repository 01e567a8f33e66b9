//! Identity and credentials of a process in the peer protocol.

use radishpaddle_wire::message::Hello;
use radishpaddle_wire::{
    ClientIdentity, PROTOCOL_VERSION, PeerSecurity, ServerIdentity, WireError,
};

use crate::context::Context;
use crate::settings::CommonSettings;

/// Builds the identity for outgoing peer connections, with the certificates from the settings.
///
/// # Errors
///
/// Fails when a certificate or key cannot be used.
pub fn client_identity(
    context: &Context,
    common: &CommonSettings,
) -> Result<ClientIdentity, WireError> {
    let security = match &common.peer_tls {
        None => PeerSecurity::Plain,
        Some(files) => PeerSecurity::load(files)?,
    };
    Ok(ClientIdentity {
        hello: Hello {
            fleet: common.fleet.to_string(),
            instance: context.instance.to_string(),
            incarnation: context.incarnation.0,
            protocol_version: PROTOCOL_VERSION,
        },
        security,
    })
}

/// Builds the identity for incoming peer connections, with the same certificates as for outgoing ones.
///
/// # Errors
///
/// Fails when a certificate or key cannot be used.
pub fn server_identity(
    context: &Context,
    common: &CommonSettings,
) -> Result<ServerIdentity, WireError> {
    let client = client_identity(context, common)?;
    Ok(ServerIdentity {
        hello: client.hello,
        security: client.security,
    })
}
