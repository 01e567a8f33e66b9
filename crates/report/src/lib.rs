//! Service-level burn report: the share of delivered requests per organisation, the use of the error
//! budget, and the journal events that may have caused it.

pub mod burn;
pub mod classify;
pub mod cli;
pub mod events;
pub mod exposition;
pub mod html;
pub mod samples;
pub mod source;
pub mod text;
pub mod time;
