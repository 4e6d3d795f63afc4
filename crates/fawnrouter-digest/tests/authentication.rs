//! Digest authentication from the client's side: which credentials are accepted and which are not.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fawnrouter_digest::*;
use proptest::prelude::*;

const REALM: &str = "calls.example";
const URI: &str = "sip:gw.example";

const fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn secret(name: &str, password: &str, md5: bool) -> (Arc<str>, Secret) {
    let hash = |algorithm| ha1(algorithm, name, REALM, password);
    let md5 = md5.then(|| hash(Algorithm::Md5));
    (name.into(), Secret { sha256: hash(Algorithm::Sha256), md5 })
}

fn authenticator(md5: bool) -> Authenticator {
    let settings =
        AuthenticatorSettings { realm: REALM.into(), md5, nonce_lifetime: s(300), max_failures: 3 };
    let mut authenticator = Authenticator::new(settings, [9; 32]);
    let secrets = [secret("branch", "tellers", false), secret("old \"desk\"", "x", true)];
    assert!(authenticator.set_secrets(BTreeMap::from(secrets)).is_empty());
    authenticator
}

/// The quoted value of parameter `name` in a header field.
fn quoted_param<'a>(challenge: &'a str, name: &str) -> &'a str {
    let start = challenge.find(&format!("{name}=\"")).expect("the parameter") + name.len() + 2;
    &challenge[start..start + challenge[start..].find('"').expect("a closing quote")]
}

struct Client {
    name: &'static str,
    password: &'static str,
    algorithm: Algorithm,
    connection: u64,
    state: AuthState,
}

impl Client {
    fn new(name: &'static str, password: &'static str) -> Self {
        Self { name, password, algorithm: Algorithm::Sha256, connection: 1, state: AuthState::default() }
    }

    fn credentials<'a>(&self, nonce: &'a str, nc: u32) -> Credentials<'a> {
        let nc_text = format!("{nc:08x}");
        let ha1 = ha1(self.algorithm, self.name, REALM, self.password);
        let response = client_response(self.algorithm, &ha1, ("OPTIONS", URI), nonce, &nc_text, "c0");
        Credentials {
            username: self.name.into(),
            realm: REALM.into(),
            nonce: nonce.into(),
            uri: URI.into(),
            response: response.into(),
            algorithm: self.algorithm,
            cnonce: "c0".into(),
            nc: (nc_text.into(), nc),
        }
    }

    /// Sends a request with one Authorization field.
    fn send(&mut self, authenticator: &Authenticator, now: Duration, field: &str) -> AuthOutcome {
        let request = Request { method: "OPTIONS", uri: URI };
        authenticator.check(now, self.connection, &mut self.state, request, [field].into_iter())
    }

    /// The nonce of a new challenge.
    fn nonce(&self, authenticator: &Authenticator, now: Duration) -> String {
        let challenge = authenticator.challenge(now, self.connection, false);
        quoted_param(&challenge[0], "nonce").to_owned()
    }

    /// Sends a request with credentials for the nonce, made from the client's password.
    fn authenticate(
        &mut self,
        authenticator: &Authenticator,
        now: Duration,
        nonce: &str,
        nc: u32,
    ) -> AuthOutcome {
        let field = self.credentials(nonce, nc).write();
        self.send(authenticator, now, &field)
    }
}

fn client_name(outcome: &AuthOutcome) -> Option<&str> {
    match outcome {
        AuthOutcome::Known { client, .. } => Some(client),
        _ => None,
    }
}

fn challenge_reason(outcome: &AuthOutcome) -> Option<ChallengeReason> {
    match outcome {
        AuthOutcome::Challenge { reason, .. } => Some(*reason),
        _ => None,
    }
}

#[test]
fn a_client_requests_a_nonce_and_authenticates_and_so_does_the_server() {
    let authenticator = authenticator(false);
    let mut client = Client::new("branch", "tellers");
    let empty =
        format!("Digest username=\"branch\", realm=\"{REALM}\", nonce=\"\", uri=\"{URI}\", response=\"\"");
    assert_eq!(
        challenge_reason(&client.send(&authenticator, s(10), &empty)),
        Some(ChallengeReason::NoCredentials)
    );
    let nonce = client.nonce(&authenticator, s(10));
    let outcome = client.authenticate(&authenticator, s(11), &nonce, 1);
    let AuthOutcome::Known { client: name, info } = outcome else { panic!("{outcome:?}") };
    assert_eq!(&*name, "branch");
    let ha1 = ha1(Algorithm::Sha256, "branch", REALM, "tellers");
    assert_eq!(
        quoted_param(&info, "rspauth"),
        server_response(Algorithm::Sha256, &ha1, URI, &nonce, "00000001", "c0")
    );
    assert!(!info.contains("nextnonce"));
    // A nonce past half of its lifetime is replaced before it expires.
    let later = client.authenticate(&authenticator, s(200), &nonce, 2);
    assert!(matches!(&later, AuthOutcome::Known { info, .. } if info.contains("nextnonce=")), "{later:?}");
}

#[test]
fn replays_and_stale_nonces_are_challenged_and_only_replays_count_as_failures() {
    let authenticator = authenticator(false);
    let mut client = Client::new("branch", "tellers");
    let nonce = client.nonce(&authenticator, s(10));
    assert_eq!(client_name(&client.authenticate(&authenticator, s(10), &nonce, 3)), Some("branch"));
    assert_eq!(
        challenge_reason(&client.authenticate(&authenticator, s(10), &nonce, 3)),
        Some(ChallengeReason::Replay)
    );
    assert_eq!(
        challenge_reason(&client.authenticate(&authenticator, s(10), &nonce, 2)),
        Some(ChallengeReason::Replay)
    );
    assert_eq!(client_name(&client.authenticate(&authenticator, s(10), &nonce, 4)), Some("branch"));
    let old = client.authenticate(&authenticator, s(400), &nonce, 5);
    assert_eq!(old, AuthOutcome::Challenge { stale: true, reason: ChallengeReason::Stale });
    let fresh = client.nonce(&authenticator, s(400));
    assert_eq!(client_name(&client.authenticate(&authenticator, s(400), &fresh, 1)), Some("branch"));
    // An earlier nonce of the same connection counts as a replay once a later one was used, even if it is
    // still valid.
    let (first, second) = (client.nonce(&authenticator, s(401)), client.nonce(&authenticator, s(402)));
    assert_eq!(client_name(&client.authenticate(&authenticator, s(402), &second, 1)), Some("branch"));
    assert_eq!(
        challenge_reason(&client.authenticate(&authenticator, s(402), &first, 9)),
        Some(ChallengeReason::Replay)
    );
    // Recorded credentials that are replayed on another connection get a challenge.
    let mut attacker = Client::new("branch", "tellers");
    attacker.connection = 2;
    assert_eq!(
        challenge_reason(&attacker.authenticate(&authenticator, s(402), &second, 2)),
        Some(ChallengeReason::Stale)
    );
}

#[test]
fn wrong_secrets_and_unknown_names_are_indistinguishable_and_refused_after_the_last_attempt() {
    let authenticator = authenticator(false);
    for (name, password) in [("branch", "guess"), ("nobody", "tellers")] {
        let mut client = Client::new(name, password);
        let nonce = client.nonce(&authenticator, s(10));
        assert_eq!(
            challenge_reason(&client.authenticate(&authenticator, s(10), &nonce, 1)),
            Some(ChallengeReason::WrongCredentials)
        );
        assert_eq!(
            challenge_reason(&client.authenticate(&authenticator, s(10), &nonce, 2)),
            Some(ChallengeReason::WrongCredentials)
        );
        assert_eq!(client.authenticate(&authenticator, s(10), &nonce, 3), AuthOutcome::Refuse);
        client.password = "tellers";
        assert_eq!(
            client.authenticate(&authenticator, s(10), &nonce, 4),
            AuthOutcome::Refuse,
            "even with the right password"
        );
    }
}

#[test]
fn md5_is_accepted_only_if_allowed_and_only_from_clients_with_an_md5_hash() {
    let (strict, lax) = (authenticator(false), authenticator(true));
    assert_eq!((strict.challenge(s(1), 1, false).len(), lax.challenge(s(1), 1, false).len()), (1, 2));
    assert!(lax.challenge(s(1), 1, false)[0].contains("SHA-256"), "best algorithm first");
    let mut old = Client { algorithm: Algorithm::Md5, ..Client::new("old \"desk\"", "x") };
    let nonce = old.nonce(&strict, s(1));
    assert_eq!(
        challenge_reason(&old.authenticate(&strict, s(1), &nonce, 1)),
        Some(ChallengeReason::WeakAlgorithm)
    );
    assert_eq!(client_name(&old.authenticate(&lax, s(1), &nonce, 1)), Some("old \"desk\""));
    let mut branch = Client { algorithm: Algorithm::Md5, ..Client::new("branch", "tellers") };
    assert_eq!(
        challenge_reason(&branch.authenticate(&lax, s(1), &nonce, 1)),
        Some(ChallengeReason::WrongCredentials),
        "it has no MD5 hash"
    );
}

#[test]
fn credentials_of_another_request_realm_or_scheme_are_not_accepted() {
    let authenticator = authenticator(false);
    let mut client = Client::new("branch", "tellers");
    let nonce = client.nonce(&authenticator, s(1));
    let valid = client.credentials(&nonce, 1);
    let other = Credentials { uri: Cow::Borrowed("sip:elsewhere"), ..valid.clone() };
    assert_eq!(
        challenge_reason(&client.send(&authenticator, s(1), &other.write())),
        Some(ChallengeReason::Unusable)
    );
    let other = Credentials { realm: Cow::Borrowed("elsewhere"), ..valid.clone() };
    assert_eq!(
        challenge_reason(&client.send(&authenticator, s(1), &other.write())),
        Some(ChallengeReason::NoCredentials)
    );
    assert_eq!(
        challenge_reason(&client.send(&authenticator, s(1), "Basic YTpi")),
        Some(ChallengeReason::NoCredentials)
    );
    assert_eq!(client_name(&client.send(&authenticator, s(1), &valid.write())), Some("branch"));
    let request = Request { method: "OPTIONS", uri: URI };
    let fields = ["Basic YTpi".to_owned(), client.credentials(&nonce, 2).write()];
    let outcome = authenticator.check(s(1), 1, &mut client.state, request, fields.iter().map(String::as_str));
    assert_eq!(client_name(&outcome), Some("branch"), "the Digest field counts");
}

#[test]
fn replacing_secrets_returns_the_names_whose_secret_changed() {
    let mut authenticator = authenticator(false);
    let mut client = Client::new("branch", "tellers");
    let nonce = client.nonce(&authenticator, s(1));
    let secrets = [secret("branch", "new", false), secret("fresh", "y", false)];
    let gone = authenticator.set_secrets(BTreeMap::from(secrets.clone()));
    assert_eq!(gone.iter().map(|n| &**n).collect::<Vec<_>>(), ["branch", "old \"desk\""]);
    assert_eq!(
        challenge_reason(&client.authenticate(&authenticator, s(1), &nonce, 1)),
        Some(ChallengeReason::WrongCredentials)
    );
    assert!(authenticator.set_secrets(BTreeMap::from(secrets)).is_empty());
}

#[test]
fn malformed_fields_give_a_specific_error() {
    let rows = [
        ("Digest", CredentialsError::Missing("username")),
        ("Digest username=\"a\", realm=\"b\"", CredentialsError::Missing("nonce")),
        ("Digest username=\"a, realm=\"b\", nonce=\"\"", CredentialsError::Syntax),
        ("Digest username=\"a\" realm=\"b\"", CredentialsError::Syntax),
        ("Digest username=\"a\", username=\"b\", realm=\"\", nonce=\"\"", CredentialsError::Duplicate),
        ("Digest username=\"a\", realm=\"\", nonce=\"n\", algorithm=SHA-1", CredentialsError::Algorithm),
        ("Digest username=\"a\", realm=\"\", nonce=\"n\", qop=auth-int", CredentialsError::Qop),
        (
            "Digest username=\"a\", realm=\"\", nonce=\"n\", qop=auth, nc=+0000001",
            CredentialsError::NonceCount,
        ),
        ("Digest username=\"a\", realm=\"\", nonce=\"n\", qop=auth, nc=1", CredentialsError::NonceCount),
        ("Bearer x", CredentialsError::Scheme),
    ];
    for (text, expected) in rows {
        assert_eq!(Credentials::parse(text), Err(expected), "{text}");
    }
    let many: String = (0..40).map(|n| format!("p{n}=x, ")).collect();
    assert_eq!(Credentials::parse(&format!("Digest {many}")), Err(CredentialsError::TooLarge));
    assert_eq!(
        Credentials::parse(&format!("Digest a=\"{}\"", "x".repeat(2000))),
        Err(CredentialsError::TooLarge)
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn written_credentials_parse_to_the_same_value(
        name in "[^\\x00-\\x1f]{0,40}",
        cnonce in "[^\\x00-\\x1f]{1,20}",
        nc in 1u32..,
    ) {
        let client = Client::new("branch", "tellers");
        let credentials = Credentials {
            username: name.as_str().into(), cnonce: cnonce.as_str().into(), ..client.credentials("n", nc)
        };
        let text = credentials.write();
        prop_assert_eq!(Credentials::parse(&text), Ok(credentials));
    }

    #[test]
    fn random_text_neither_panics_nor_authenticates(text in "(Digest )?[ -~]{0,200}") {
        let authenticator = authenticator(true);
        let mut client = Client::new("branch", "tellers");
        let outcome = client.send(&authenticator, s(1), &text);
        prop_assert_eq!(client_name(&outcome), None);
    }
}
