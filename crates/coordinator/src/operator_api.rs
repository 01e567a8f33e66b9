//! HTTP calls of operators for the evacuation of availability zones.
//!
//! | Call | Meaning |
//! |---|---|
//! | `GET /v1/evacuations` | zones with an order, and what the gateways that poll this coordinator reported |
//! | `POST /v1/evacuations/ZONE` | evacuates a zone |
//! | `DELETE /v1/evacuations/ZONE` | ends its evacuation |

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::coordinator::Coordinator;
use crate::evacuation::{ZoneOrderError, ZoneStatus};

const EVACUATIONS: &str = "/v1/evacuations";

/// Header with the name of the operator who gives an order.
const OPERATOR_HEADER: &str = "x-operator";

impl Coordinator {
    /// Handles a request to these calls; returns `None` for any other request.
    pub async fn handle_evacuations(&self, request: &Request<Bytes>) -> Option<Response<Bytes>> {
        let rest = request.uri().path().strip_prefix(EVACUATIONS)?;
        if rest.is_empty() && request.method() == Method::GET {
            return Some(json_response(StatusCode::OK, &self.evacuations()));
        }
        let zone = rest.strip_prefix('/')?;
        let operator = request.headers().get(OPERATOR_HEADER);
        let operator = operator.and_then(|operator| operator.to_str().ok());
        let result = match *request.method() {
            Method::POST => self.evacuate(zone, operator).await,
            Method::DELETE => self.end_evacuation(zone, operator).await,
            _ => {
                let error = json!({"message": "use POST or DELETE"});
                return Some(json_response(StatusCode::METHOD_NOT_ALLOWED, &error));
            }
        };
        let (status, message) = match result {
            Ok(()) => (StatusCode::OK, "acknowledged"),
            Err(ZoneOrderError::InvalidZone) => (
                StatusCode::BAD_REQUEST,
                "the name of the zone is empty or too long",
            ),
            Err(ZoneOrderError::Unavailable) => (
                StatusCode::SERVICE_UNAVAILABLE,
                "this coordinator cannot do that now; ask another one",
            ),
        };
        Some(json_response(status, &json!({"message": message})))
    }

    fn evacuations(&self) -> Value {
        let zones = self.zone_status();
        let zones: Vec<_> = zones.iter().map(zone_json).collect();
        json!({"coordinator": self.settings().instance, "zones": zones})
    }
}

fn zone_json(status: &ZoneStatus) -> Value {
    json!({"zone": status.zone, "evacuated": status.evacuated, "number": status.number,
           "since_ms": status.since_ms, "operator": status.operator,
           "accepted_by": status.accepted_by, "gateways": status.gateways,
           "applying": status.applying, "running": status.running})
}

fn json_response(status: StatusCode, body: &Value) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(body.to_string()));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
