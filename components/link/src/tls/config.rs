//! TLS and QUIC configuration for an identity.

use super::{Error, Identity};
use quinn::{
    ClientConfig, ServerConfig, TransportConfig,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rustls::{
    client::Resumption, crypto::CryptoProvider, crypto::ring, server::WebPkiClientVerifier,
    version::TLS13,
};
use std::sync::Arc;

/// Protocol name for ALPN, so that other QUIC services are not mistaken for an entry.
const ALPN: &[u8] = b"primrosestep";

impl Identity {
    /// Returns the configuration for connecting. The peer must prove that it is the requested
    /// entry.
    pub fn client(&self, transport: Arc<TransportConfig>) -> Result<ClientConfig, Error> {
        let mut tls = rustls::ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])
            .map_err(Error::Pair)?
            .with_root_certificates(self.authorities.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(Error::Pair)?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        // A resumed session would skip the verification of a replaced certificate.
        tls.resumption = Resumption::disabled();
        let quic = QuicClientConfig::try_from(tls).map_err(|_| Error::Suite)?;
        let mut config = ClientConfig::new(Arc::new(quic));
        config.transport_config(transport);
        Ok(config)
    }

    /// Returns the configuration for accepting. Peers must have a certificate of the authority.
    pub fn server(&self, transport: Arc<TransportConfig>) -> Result<ServerConfig, Error> {
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.authorities.clone(), provider())
                .build()
                .map_err(Error::Verifier)?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])
            .map_err(Error::Pair)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(Error::Pair)?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        tls.send_tls13_tickets = 0;
        let quic = QuicServerConfig::try_from(tls).map_err(|_| Error::Suite)?;
        let mut config = ServerConfig::with_crypto(Arc::new(quic));
        config.transport_config(transport);
        Ok(config)
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}
