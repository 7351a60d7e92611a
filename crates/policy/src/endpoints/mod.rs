//! What is known of the endpoints.

pub mod endpoint;
pub mod endpoint_list;
pub mod outlier;
pub mod slow_start;
