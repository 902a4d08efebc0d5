//! The time budget, class, tenant and key of an incoming request, for the calls that its handler makes.

use http::{HeaderMap, HeaderName, HeaderValue, Request};
use std::time::Duration;
use tokio::time::Instant;

const CLASS: HeaderName = HeaderName::from_static("x-call-class");
const TENANT: HeaderName = HeaderName::from_static("x-caller");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");
const RESENT: HeaderName = HeaderName::from_static("x-again");

/// The metadata of an incoming request. [`crate::FleetLayer`] adds it to the request's extensions, with a deadline
/// that counts from the request's arrival; axum handlers can use it as an extractor. In the extensions of an outgoing
/// request it provides the headers that the request lacks.
///
/// A header that is repeated or unreadable counts as absent. A call without a class is rejected.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallContext {
    class: Option<HeaderValue>,
    tenant: Option<HeaderValue>,
    key: Option<HeaderValue>,
    deadline: Option<Instant>,
    resent: bool,
}

impl CallContext {
    /// Reads the headers of a request that arrived at `arrived`.
    pub fn from_headers(headers: &HeaderMap, arrived: Instant) -> CallContext {
        let single = |name: &HeaderName| {
            let mut values = headers.get_all(name).iter();
            values.next().filter(|_| values.next().is_none()).cloned()
        };
        let budget = single(&HeaderName::from_static("x-budget-ms"));
        let budget = budget.as_ref().and_then(|value| value.to_str().ok()?.parse::<u32>().ok());
        CallContext {
            class: single(&CLASS),
            tenant: single(&TENANT),
            key: single(&KEY),
            deadline: budget.map(|ms| arrived + Duration::from_millis(ms.into())),
            resent: single(&RESENT).is_some_and(|value| value == "1"),
        }
    }

    /// The class, if it is present and valid text.
    pub fn class(&self) -> Option<&str> {
        self.class.as_ref()?.to_str().ok()
    }

    /// The tenant, if it is present and valid text.
    pub fn tenant(&self) -> Option<&str> {
        self.tenant.as_ref()?.to_str().ok()
    }

    /// The idempotency key, if it is present and valid text.
    pub fn key(&self) -> Option<&str> {
        self.key.as_ref()?.to_str().ok()
    }

    /// When the request's client stops waiting for the response.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadline
    }

    /// How long the client will still wait; `None` if the request has no time budget. Part of that time is needed to
    /// send the response back.
    pub fn remaining(&self) -> Option<Duration> {
        self.deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()))
    }

    /// Whether the client marks the request as a repeat (`x-again: 1`).
    pub fn is_again(&self) -> bool {
        self.resent
    }

    /// This context with another class.
    ///
    /// # Errors
    /// The name is not valid as the value of a header.
    pub fn with_class(mut self, class: &str) -> Result<CallContext, http::header::InvalidHeaderValue> {
        self.class = Some(HeaderValue::try_from(class)?);
        Ok(self)
    }

    /// This context for one of several calls that a handler makes for one keyed request: hosts would take two calls
    /// with the same key for repeats of one call. The name of the step is appended to the key, so that a repeat of
    /// the request yields the same keys. A context without a key remains without one.
    ///
    /// # Errors
    /// The step's name is not valid in the value of a header.
    pub fn for_step(mut self, step: &str) -> Result<CallContext, http::header::InvalidHeaderValue> {
        if let Some(key) = &self.key {
            let bytes = [key.as_bytes(), b"/", step.as_bytes()].concat();
            self.key = Some(HeaderValue::from_bytes(&bytes)?);
        }
        Ok(self)
    }

    /// Adds this context to an outgoing request.
    pub fn apply<B>(self, request: &mut Request<B>) {
        request.extensions_mut().insert(self);
    }

    /// Adds the headers that the request lacks. The key is added whatever the class and method are; the validation
    /// that follows rejects a request whose key does not fit its class.
    pub(crate) fn fill_in(&self, headers: &mut HeaderMap) {
        let resent = self.resent.then(|| HeaderValue::from_static("1"));
        let values = [(CLASS, &self.class), (TENANT, &self.tenant), (KEY, &self.key), (RESENT, &resent)];
        for (name, value) in values {
            if let Some(value) = value {
                headers.entry(name).or_insert_with(|| value.clone());
            }
        }
    }
}

#[cfg(feature = "axum")]
impl<S: Sync> axum_core::extract::FromRequestParts<S> for CallContext {
    type Rejection = std::convert::Infallible;

    async fn from_request_parts(parts: &mut http::request::Parts, _: &S) -> Result<Self, Self::Rejection> {
        // Without the layer the arrival is unknown, and the time budget is counted from now.
        Ok(match parts.extensions.get::<CallContext>() {
            Some(context) => context.clone(),
            None => CallContext::from_headers(&parts.headers, Instant::now()),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn header_map(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
        pairs.iter().map(|&(n, v)| (HeaderName::from_static(n), HeaderValue::from_static(v))).collect()
    }

    #[tokio::test(start_paused = true)]
    async fn headers_are_read_and_the_budget_runs_from_the_arrival() {
        let headers = header_map(&[
            ("x-call-class", "door"),
            ("x-caller", "acme"),
            ("idempotency-key", "k"),
            ("x-budget-ms", "400"),
            ("x-again", "1"),
        ]);
        let context = CallContext::from_headers(&headers, Instant::now());
        assert_eq!(
            (context.class(), context.tenant(), context.key()),
            (Some("door"), Some("acme"), Some("k"))
        );
        assert!(context.is_again());
        tokio::time::advance(Duration::from_millis(150)).await;
        assert_eq!(context.remaining(), Some(Duration::from_millis(250)));
        tokio::time::advance(Duration::from_millis(900)).await;
        assert_eq!(context.remaining(), Some(Duration::ZERO));
    }

    #[tokio::test(start_paused = true)]
    async fn repeated_or_invalid_headers_are_ignored() {
        let mut headers = header_map(&[("x-call-class", "door"), ("x-budget-ms", "-4")]);
        headers.append(CLASS, HeaderValue::from_static("other"));
        assert_eq!(CallContext::from_headers(&headers, Instant::now()), CallContext::default());
    }

    #[test]
    fn a_context_adds_the_headers_that_a_request_lacks() {
        let headers = header_map(&[("x-call-class", "door"), ("idempotency-key", "k")]);
        let context = CallContext::from_headers(&headers, Instant::now());
        let mut outgoing = header_map(&[("x-call-class", "own")]);
        context.clone().for_step("charge").expect("a key").fill_in(&mut outgoing);
        assert_eq!(
            (&outgoing["x-call-class"], &outgoing["idempotency-key"]),
            (&"own".parse().expect("a value"), &"k/charge".parse().expect("a value"))
        );
        assert!(!outgoing.contains_key("x-caller") && !outgoing.contains_key("x-again"));
        assert!(context.for_step("bad\nstep").is_err());
    }
}
