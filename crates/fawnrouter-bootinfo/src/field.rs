//! Typed access to the fields of the settings object, with each field's path for error messages.

use std::time::Duration;

use serde_json::{Number, Value};

use crate::{BootInfoError, Result, abbreviated};

/// A field of the settings object; null counts as absent.
pub struct Field<'a> {
    path: String,
    value: Option<&'a Value>,
}

impl<'a> Field<'a> {
    pub fn root(value: &'a Value) -> Self {
        Self { path: String::new(), value: Some(value) }
    }

    pub fn key(&self, key: &str) -> Field<'a> {
        let value = self.value.and_then(|v| v.get(key)).filter(|v| !v.is_null());
        let path = if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) };
        Field { path, value }
    }

    /// An object whose fields are looked up; if it is absent, so are they.
    pub fn object(&self, key: &str) -> Result<Field<'a>> {
        let part = self.key(key);
        part.typed("an object", |v| v.as_object())?;
        Ok(part)
    }

    /// The items of a list; none if the list is absent.
    pub fn as_list(&self) -> Result<Vec<Field<'a>>> {
        let list = self.typed("a list", |v| v.as_array())?;
        let item = |(index, value): (usize, &'a Value)| Field {
            path: format!("{}[{index}]", self.path),
            value: Some(value).filter(|v| !v.is_null()),
        };
        Ok(list.map(|list| list.iter().enumerate().map(item).collect()).unwrap_or_default())
    }

    pub fn is_absent(&self) -> bool {
        self.value.is_none()
    }

    pub fn require_object(&self) -> Result<()> {
        self.required("an object", |field| field.typed("an object", |v| v.as_object())).map(|_| ())
    }

    /// A field that must be present.
    pub fn required<T>(&self, wanted: &'static str, read: impl Fn(&Self) -> Result<Option<T>>) -> Result<T> {
        if self.is_absent() {
            return Err(self.missing(wanted));
        }
        read(self)?.ok_or_else(|| self.missing(wanted))
    }

    pub fn as_text(&self) -> Result<Option<&'a str>> {
        self.typed("text", |v| v.as_str())
    }

    /// An absent permission is not granted.
    pub fn as_bool(&self) -> Result<bool> {
        Ok(self.typed("true or false", Value::as_bool)?.unwrap_or(false))
    }

    pub fn as_number(&self) -> Result<Option<&'a Number>> {
        self.typed("a number", |v| v.as_number())
    }

    pub fn as_u64(&self) -> Result<Option<u64>> {
        self.parse_number("a whole number, 0 or more", Number::as_u64)
    }

    pub fn as_u32(&self) -> Result<Option<u32>> {
        self.parse_number("a whole number from 0 to 4294967295", |n| {
            n.as_u64().and_then(|n| n.try_into().ok())
        })
    }

    pub fn as_duration(&self) -> Result<Option<Duration>> {
        let nanos = self.parse_number("a whole number of nanoseconds, 0 or more", Number::as_u64)?;
        Ok(nanos.map(Duration::from_nanos))
    }

    pub fn as_non_negative(&self) -> Result<Option<f64>> {
        self.parse_number("a number, 0 or more", |n| n.as_f64().filter(|x| x.is_finite() && *x >= 0.0))
    }

    pub fn as_fraction(&self) -> Result<Option<f64>> {
        self.parse_number("a share from 0 to 1", |n| n.as_f64().filter(|x| (0.0..=1.0).contains(x)))
    }

    fn parse_number<T>(
        &self,
        wanted: &'static str,
        read: impl Fn(&Number) -> Option<T>,
    ) -> Result<Option<T>> {
        let number = self.typed(wanted, |v| v.as_number())?;
        number.map(|n| read(n).ok_or_else(|| self.out_of_range(wanted))).transpose()
    }

    fn typed<T>(&self, wanted: &'static str, read: impl Fn(&'a Value) -> Option<T>) -> Result<Option<T>> {
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

    pub fn conflict(&self, with: String, remedy: &'static str) -> BootInfoError {
        BootInfoError::Conflict { field: self.path.clone(), found: self.found(), with, remedy }
    }
}
