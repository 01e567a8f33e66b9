//! Mutual TLS between peers, with the fleet's own certificate authority.

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

/// DNS name that every certificate of the fleet contains as subject alternative name.
pub const FLEET_SERVER_NAME: &str = "peer.radishpaddle.internal";

/// A connected byte stream, with or without TLS.
pub trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> PeerStream for T {}

/// Paths of the certificate and key files, in PEM format.
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

/// Authentication of peers, which proves that they belong to the fleet.
#[derive(Clone)]
pub enum PeerSecurity {
    /// No TLS and no authentication. The settings allow it only when all peer addresses are
    /// loopback addresses.
    Plain,
    /// Mutual TLS: both sides must present a certificate signed by the fleet's authority.
    Tls(Arc<TlsContext>),
}

/// TLS configuration for outgoing and accepted connections.
pub struct TlsContext {
    acceptor: TlsAcceptor,
    connector: TlsConnector,
}

impl PeerSecurity {
    /// Loads the certificates and the private key.
    ///
    /// # Errors
    ///
    /// `Tls` when a file cannot be read, or its certificate or key is invalid.
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

    /// Performs the client side of the TLS handshake on an outgoing connection, if TLS is used.
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

    /// Performs the server side of the TLS handshake on an accepted connection, if TLS is used.
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
