//! Fields of the settings object, each with its path for the message in case it is wrong.

use std::time::Duration;

use serde_json::{Number, Value};

use crate::{BootInfoError, Result, abbreviated};

/// A place in the settings object; what is null counts as absent.
pub struct At<'a> {
    path: String,
    value: Option<&'a Value>,
}

impl<'a> At<'a> {
    pub fn root(value: &'a Value) -> Self {
        Self { path: String::new(), value: Some(value) }
    }

    pub fn key(&self, key: &str) -> At<'a> {
        let value = self.value.and_then(|v| v.get(key)).filter(|v| !v.is_null());
        let path = if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) };
        At { path, value }
    }

    /// An object in which fields are looked up; where it is absent, so are they.
    pub fn part(&self, key: &str) -> Result<At<'a>> {
        let part = self.key(key);
        part.read("an object", |v| v.as_object())?;
        Ok(part)
    }

    /// The items of a list; none where it is absent.
    pub fn items(&self) -> Result<Vec<At<'a>>> {
        let list = self.read("a list", |v| v.as_array())?;
        let item = |(place, value): (usize, &'a Value)| At {
            path: format!("{}[{place}]", self.path),
            value: Some(value).filter(|v| !v.is_null()),
        };
        Ok(list.map(|list| list.iter().enumerate().map(item).collect()).unwrap_or_default())
    }

    pub fn is_absent(&self) -> bool {
        self.value.is_none()
    }

    pub fn is_object(&self) -> Result<()> {
        self.need("an object", |at| at.read("an object", |v| v.as_object())).map(|_| ())
    }

    /// A field that must be there.
    pub fn need<T>(&self, wanted: &'static str, read: impl Fn(&Self) -> Result<Option<T>>) -> Result<T> {
        if self.is_absent() {
            return Err(self.missing(wanted));
        }
        read(self)?.ok_or_else(|| self.missing(wanted))
    }

    pub fn text(&self) -> Result<Option<&'a str>> {
        self.read("text", |v| v.as_str())
    }

    /// What is absent is not permitted.
    pub fn flag(&self) -> Result<bool> {
        Ok(self.read("true or false", Value::as_bool)?.unwrap_or(false))
    }

    pub fn number(&self) -> Result<Option<&'a Number>> {
        self.read("a number", |v| v.as_number())
    }

    pub fn whole(&self) -> Result<Option<u64>> {
        self.figure("a whole number, 0 or more", Number::as_u64)
    }

    pub fn small(&self) -> Result<Option<u32>> {
        self.figure("a whole number from 0 to 4294967295", |n| n.as_u64().and_then(|n| n.try_into().ok()))
    }

    pub fn span(&self) -> Result<Option<Duration>> {
        let nanos = self.figure("a whole number of nanoseconds, 0 or more", Number::as_u64)?;
        Ok(nanos.map(Duration::from_nanos))
    }

    pub fn amount(&self) -> Result<Option<f64>> {
        self.figure("a number, 0 or more", |n| n.as_f64().filter(|x| x.is_finite() && *x >= 0.0))
    }

    pub fn share(&self) -> Result<Option<f64>> {
        self.figure("a share from 0 to 1", |n| n.as_f64().filter(|x| (0.0..=1.0).contains(x)))
    }

    fn figure<T>(&self, wanted: &'static str, read: impl Fn(&Number) -> Option<T>) -> Result<Option<T>> {
        let number = self.read(wanted, |v| v.as_number())?;
        number.map(|n| read(n).ok_or_else(|| self.out_of_range(wanted))).transpose()
    }

    fn read<T>(&self, wanted: &'static str, read: impl Fn(&'a Value) -> Option<T>) -> Result<Option<T>> {
        let wrong = || BootInfoError::WrongType { field: self.path.clone(), found: self.found(), wanted };
        self.value.map(|v| read(v).ok_or_else(wrong)).transpose()
    }

    fn found(&self) -> String {
        self.value.map_or_else(|| "missing".to_owned(), abbreviated)
    }

    pub fn missing(&self, wanted: &'static str) -> BootInfoError {
        BootInfoError::Missing { field: self.path.clone(), wanted }
    }

    pub fn out_of_range(&self, wanted: &'static str) -> BootInfoError {
        BootInfoError::OutOfRange { field: self.path.clone(), found: self.found(), wanted }
    }

    pub fn at_odds(&self, with: String, remedy: &'static str) -> BootInfoError {
        BootInfoError::Conflict { field: self.path.clone(), found: self.found(), with, remedy }
    }
}
