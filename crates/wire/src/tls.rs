//! Proof that a peer belongs to the fleet: TLS with the fleet's own certificate authority.

use std::path::PathBuf;
use std::sync::Arc;

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_rustls::{TlsAcceptor, TlsConnector};

use crate::error::WireError;

/// Name that every certificate of the fleet carries as subject alternative name.
pub const FLEET_SERVER_NAME: &str = "peer.radishpaddle.internal";

/// A connected byte stream, with or without TLS.
pub trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> PeerStream for T {}

/// Files in PEM format.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// Certificate of the fleet's certificate authority.
    pub authority: PathBuf,
    /// Certificate of this process, signed by the authority for [`FLEET_SERVER_NAME`].
    pub certificate: PathBuf,
    /// Private key of this process.
    pub private_key: PathBuf,
}

/// How a process proves that it belongs to the fleet.
#[derive(Clone)]
pub enum PeerSecurity {
    /// No proof. Allowed by the settings only when every peer address is a loopback address.
    Plain,
    /// Both sides present a certificate of the fleet's authority.
    Tls(Arc<TlsContext>),
}

/// Loaded certificates, ready for both directions.
pub struct TlsContext {
    acceptor: TlsAcceptor,
    connector: TlsConnector,
}

impl PeerSecurity {
    /// Loads certificates and key.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or does not hold what it should.
    pub fn load(files: &TlsFiles) -> Result<Self, WireError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut roots = RootCertStore::empty();
        for certificate in read_certificates(&files.authority)? {
            roots.add(certificate).map_err(tls_error)?;
        }
        let roots = Arc::new(roots);
        let chain = read_certificates(&files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.private_key).map_err(tls_error)?;
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
                .build()
                .map_err(tls_error)?;
        let server = ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_safe_default_protocol_versions()
            .map_err(tls_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(tls_error)?;
        let client = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(tls_error)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(tls_error)?;
        Ok(Self::Tls(Arc::new(TlsContext {
            acceptor: TlsAcceptor::from(Arc::new(server)),
            connector: TlsConnector::from(Arc::new(client)),
        })))
    }

    /// Secures an outgoing connection.
    pub(crate) async fn connect(
        &self,
        stream: TcpStream,
    ) -> Result<Box<dyn PeerStream>, WireError> {
        match self {
            Self::Plain => Ok(Box::new(stream)),
            Self::Tls(context) => {
                let name = ServerName::try_from(FLEET_SERVER_NAME).map_err(tls_error)?;
                Ok(Box::new(context.connector.connect(name, stream).await?))
            }
        }
    }

    /// Secures an accepted connection.
    pub(crate) async fn accept(&self, stream: TcpStream) -> Result<Box<dyn PeerStream>, WireError> {
        match self {
            Self::Plain => Ok(Box::new(stream)),
            Self::Tls(context) => Ok(Box::new(context.acceptor.accept(stream).await?)),
        }
    }
}

fn read_certificates(path: &PathBuf) -> Result<Vec<CertificateDer<'static>>, WireError> {
    CertificateDer::pem_file_iter(path)
        .map_err(tls_error)?
        .collect::<Result<_, _>>()
        .map_err(tls_error)
}

fn tls_error(error: impl std::fmt::Display) -> WireError {
    WireError::Tls(error.to_string())
}
