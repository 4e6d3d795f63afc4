//! A client's side against the guard: what it takes to be known, and what does not do.

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

fn guard(md5: bool) -> Authenticator {
    let settings =
        AuthenticatorSettings { realm: REALM.into(), md5, nonce_lifetime: s(300), max_failures: 3 };
    let mut guard = Authenticator::new(settings, [9; 32]);
    let secrets = [secret("branch", "tellers", false), secret("old \"desk\"", "x", true)];
    assert!(guard.set_secrets(BTreeMap::from(secrets)).is_empty());
    guard
}

/// What stands in quotes behind `name=` in a challenge.
fn quoted<'a>(challenge: &'a str, name: &str) -> &'a str {
    let start = challenge.find(&format!("{name}=\"")).expect("the parameter") + name.len() + 2;
    &challenge[start..start + challenge[start..].find('"').expect("a closing quote")]
}

struct Client {
    name: &'static str,
    password: &'static str,
    algorithm: Algorithm,
    connection: u64,
    proof: AuthState,
}

impl Client {
    fn new(name: &'static str, password: &'static str) -> Self {
        Self { name, password, algorithm: Algorithm::Sha256, connection: 1, proof: AuthState::default() }
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

    fn say(&mut self, guard: &Authenticator, now: Duration, field: &str) -> AuthOutcome {
        let request = Request { method: "OPTIONS", uri: URI };
        guard.check(now, self.connection, &mut self.proof, request, [field].into_iter())
    }

    fn nonce(&self, guard: &Authenticator, now: Duration) -> String {
        let challenge = guard.challenge(now, self.connection, false);
        quoted(&challenge[0], "nonce").to_owned()
    }

    fn prove(&mut self, guard: &Authenticator, now: Duration, nonce: &str, nc: u32) -> AuthOutcome {
        let field = self.credentials(nonce, nc).write();
        self.say(guard, now, &field)
    }
}

fn known(checked: &AuthOutcome) -> Option<&str> {
    match checked {
        AuthOutcome::Known { client, .. } => Some(client),
        _ => None,
    }
}

fn why(checked: &AuthOutcome) -> Option<ChallengeReason> {
    match checked {
        AuthOutcome::Challenge { reason, .. } => Some(*reason),
        _ => None,
    }
}

#[test]
fn a_client_asks_for_a_nonce_answers_and_is_known_and_the_server_proves_itself() {
    let guard = guard(false);
    let mut client = Client::new("branch", "tellers");
    let empty =
        format!("Digest username=\"branch\", realm=\"{REALM}\", nonce=\"\", uri=\"{URI}\", response=\"\"");
    assert_eq!(why(&client.say(&guard, s(10), &empty)), Some(ChallengeReason::NoCredentials));
    let nonce = client.nonce(&guard, s(10));
    let checked = client.prove(&guard, s(11), &nonce, 1);
    let AuthOutcome::Known { client: name, info } = checked else { panic!("{checked:?}") };
    assert_eq!(&*name, "branch");
    let ha1 = ha1(Algorithm::Sha256, "branch", REALM, "tellers");
    assert_eq!(
        quoted(&info, "rspauth"),
        server_response(Algorithm::Sha256, &ha1, URI, &nonce, "00000001", "c0")
    );
    assert!(!info.contains("nextnonce"));
    // Past half of its life the nonce is replaced ahead of time.
    let later = client.prove(&guard, s(200), &nonce, 2);
    assert!(matches!(&later, AuthOutcome::Known { info, .. } if info.contains("nextnonce=")), "{later:?}");
}

#[test]
fn replays_old_and_foreign_nonces_are_refused_but_only_the_replay_counts_against_it() {
    let guard = guard(false);
    let mut client = Client::new("branch", "tellers");
    let nonce = client.nonce(&guard, s(10));
    assert_eq!(known(&client.prove(&guard, s(10), &nonce, 3)), Some("branch"));
    assert_eq!(why(&client.prove(&guard, s(10), &nonce, 3)), Some(ChallengeReason::Replay));
    assert_eq!(why(&client.prove(&guard, s(10), &nonce, 2)), Some(ChallengeReason::Replay));
    assert_eq!(known(&client.prove(&guard, s(10), &nonce, 4)), Some("branch"));
    let old = client.prove(&guard, s(400), &nonce, 5);
    assert_eq!(old, AuthOutcome::Challenge { stale: true, reason: ChallengeReason::Stale });
    let fresh = client.nonce(&guard, s(400));
    assert_eq!(known(&client.prove(&guard, s(400), &fresh, 1)), Some("branch"));
    // An earlier nonce of the same connection, still within its life, is a replay after a later one was used.
    let (first, second) = (client.nonce(&guard, s(401)), client.nonce(&guard, s(402)));
    assert_eq!(known(&client.prove(&guard, s(402), &second, 1)), Some("branch"));
    assert_eq!(why(&client.prove(&guard, s(402), &first, 9)), Some(ChallengeReason::Replay));
    // Whoever records it and plays it on another connection gets a challenge.
    let mut thief = Client::new("branch", "tellers");
    thief.connection = 2;
    assert_eq!(why(&thief.prove(&guard, s(402), &second, 2)), Some(ChallengeReason::Stale));
}

#[test]
fn wrong_secrets_and_unknown_names_look_alike_and_end_after_the_attempts() {
    let guard = guard(false);
    for (name, password) in [("branch", "guess"), ("nobody", "tellers")] {
        let mut client = Client::new(name, password);
        let nonce = client.nonce(&guard, s(10));
        assert_eq!(why(&client.prove(&guard, s(10), &nonce, 1)), Some(ChallengeReason::WrongCredentials));
        assert_eq!(why(&client.prove(&guard, s(10), &nonce, 2)), Some(ChallengeReason::WrongCredentials));
        assert_eq!(client.prove(&guard, s(10), &nonce, 3), AuthOutcome::Refuse);
        client.password = "tellers";
        assert_eq!(client.prove(&guard, s(10), &nonce, 4), AuthOutcome::Refuse, "even with the right one");
    }
}

#[test]
fn md5_is_taken_only_where_it_is_allowed_and_only_from_those_with_such_a_hash() {
    let (strict, lax) = (guard(false), guard(true));
    assert_eq!((strict.challenge(s(1), 1, false).len(), lax.challenge(s(1), 1, false).len()), (1, 2));
    assert!(lax.challenge(s(1), 1, false)[0].contains("SHA-256"), "the best comes first");
    let mut old = Client { algorithm: Algorithm::Md5, ..Client::new("old \"desk\"", "x") };
    let nonce = old.nonce(&strict, s(1));
    assert_eq!(why(&old.prove(&strict, s(1), &nonce, 1)), Some(ChallengeReason::WeakAlgorithm));
    assert_eq!(known(&old.prove(&lax, s(1), &nonce, 1)), Some("old \"desk\""));
    let mut branch = Client { algorithm: Algorithm::Md5, ..Client::new("branch", "tellers") };
    assert_eq!(
        why(&branch.prove(&lax, s(1), &nonce, 1)),
        Some(ChallengeReason::WrongCredentials),
        "it has no hash by MD5"
    );
}

#[test]
fn credentials_of_another_request_realm_or_scheme_do_not_do() {
    let guard = guard(false);
    let mut client = Client::new("branch", "tellers");
    let nonce = client.nonce(&guard, s(1));
    let sound = client.credentials(&nonce, 1);
    let other = Credentials { uri: Cow::Borrowed("sip:elsewhere"), ..sound.clone() };
    assert_eq!(why(&client.say(&guard, s(1), &other.write())), Some(ChallengeReason::Unusable));
    let other = Credentials { realm: Cow::Borrowed("elsewhere"), ..sound.clone() };
    assert_eq!(why(&client.say(&guard, s(1), &other.write())), Some(ChallengeReason::NoCredentials));
    assert_eq!(why(&client.say(&guard, s(1), "Basic YTpi")), Some(ChallengeReason::NoCredentials));
    assert_eq!(known(&client.say(&guard, s(1), &sound.write())), Some("branch"));
    let request = Request { method: "OPTIONS", uri: URI };
    let fields = ["Basic YTpi".to_owned(), client.credentials(&nonce, 2).write()];
    let checked = guard.check(s(1), 1, &mut client.proof, request, fields.iter().map(String::as_str));
    assert_eq!(known(&checked), Some("branch"), "the one that is ours counts");
}

#[test]
fn a_reload_names_those_whose_secret_changed() {
    let mut guard = guard(false);
    let mut client = Client::new("branch", "tellers");
    let nonce = client.nonce(&guard, s(1));
    let secrets = [secret("branch", "new", false), secret("fresh", "y", false)];
    let gone = guard.set_secrets(BTreeMap::from(secrets.clone()));
    assert_eq!(gone.iter().map(|n| &**n).collect::<Vec<_>>(), ["branch", "old \"desk\""]);
    assert_eq!(why(&client.prove(&guard, s(1), &nonce, 1)), Some(ChallengeReason::WrongCredentials));
    assert!(guard.set_secrets(BTreeMap::from(secrets)).is_empty());
}

#[test]
fn fields_that_cannot_be_read_say_why() {
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
    for (text, wanted) in rows {
        assert_eq!(Credentials::parse(text), Err(wanted), "{text}");
    }
    let many: String = (0..40).map(|n| format!("p{n}=x, ")).collect();
    assert_eq!(Credentials::parse(&format!("Digest {many}")), Err(CredentialsError::TooLarge));
    assert_eq!(
        Credentials::parse(&format!("Digest a=\"{}\"", "x".repeat(2000))),
        Err(CredentialsError::TooLarge)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn whatever_is_written_is_read_again(name in "[^\\x00-\\x1f]{0,40}", cnonce in "[^\\x00-\\x1f]{1,20}", nc in 1u32..) {
        let client = Client::new("branch", "tellers");
        let sound = Credentials {
            username: name.as_str().into(), cnonce: cnonce.as_str().into(), ..client.credentials("n", nc)
        };
        let text = sound.write();
        prop_assert_eq!(Credentials::parse(&text), Ok(sound));
    }

    #[test]
    fn no_text_makes_it_panic_or_anybody_known(text in "(Digest )?[ -~]{0,200}") {
        let guard = guard(true);
        let mut client = Client::new("branch", "tellers");
        let checked = client.say(&guard, s(1), &text);
        prop_assert_eq!(known(&checked), None);
    }
}
