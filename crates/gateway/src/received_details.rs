//! Details of a configuration in the reply of a coordinator.

use radishpaddle_model::ConfigDetails;
use radishpaddle_wire::message::PollReplyExtension;

/// Details of the configuration of one version.
#[derive(Debug)]
pub(crate) struct ReceivedDetails {
    pub(crate) version: u64,
    pub(crate) details: ConfigDetails,
}

impl ReceivedDetails {
    /// Reads the details in a reply; `None` if it has none or they are malformed. A coordinator of a build without
    /// features knows no details, so those of its configuration are the default ones.
    pub(crate) fn of(reply: &PollReplyExtension, config_version: u64) -> Option<Self> {
        if reply.features == 0 {
            return Some(Self {
                version: config_version,
                details: ConfigDetails::default(),
            });
        }
        if reply.config_details.is_empty() {
            return None;
        }
        let version = reply.details_version;
        match serde_json::from_slice(&reply.config_details) {
            Ok(details) => Some(Self { version, details }),
            Err(error) => {
                log::warn!("gateway: details of configuration {version} are malformed: {error}");
                None
            }
        }
    }
}
