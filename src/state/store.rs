use std::fmt;

use prost::Message;

use super::{Fetch, Part, Series, Subject, Update, Versions, series::Image as SeriesImage};
use crate::{
    list::{Book, List},
    stop,
};

/// The newest versions of every subject, and what leads to them from earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Store {
    plans: Series,
    allowances: Series,
    stops: Series,
}

/// Why an update was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The sender is behind in some subject.
    Older(Versions),
    /// A part does not fit.
    Unfit(String),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Older(versions) => write!(
                f,
                "the sender is behind at plans {} and allowances {}; ask another peer",
                versions.plans, versions.allowances
            ),
            Self::Unfit(detail) => write!(f, "{detail}; ask for a snapshot"),
        }
    }
}

impl std::error::Error for Refused {}

/// The whole of a store, encoded.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Image {
    #[prost(message, required, tag = "1")]
    plans: SeriesImage,
    #[prost(message, required, tag = "2")]
    allowances: SeriesImage,
    #[prost(message, required, tag = "3")]
    stops: SeriesImage,
}

impl Store {
    /// The newest versions.
    pub fn versions(&self) -> Versions {
        Versions {
            plans: self.plans.version(),
            allowances: self.allowances.version(),
            stops: self.stops.version(),
        }
    }

    /// The versions of one subject.
    pub fn series(&self, subject: Subject) -> &Series {
        match subject {
            Subject::Plans => &self.plans,
            Subject::Allowances => &self.allowances,
            Subject::Stops => &self.stops,
        }
    }

    pub(super) fn series_mut(&mut self, subject: Subject) -> &mut Series {
        match subject {
            Subject::Plans => &mut self.plans,
            Subject::Allowances => &mut self.allowances,
            Subject::Stops => &mut self.stops,
        }
    }

    /// Both lists.
    ///
    /// # Errors
    ///
    /// Where an entry cannot be read, as after a downgrade; the message names the entry.
    pub fn book(&self) -> Result<Book, String> {
        let plans: List<_> = self.plans.list()?;
        Ok(Book::new(plans, self.allowances.list()?))
    }

    /// The planned stops.
    pub fn stops(&self) -> stop::PlannedStops {
        let list = self.stops.list().unwrap_or_default();
        list.entries.into_iter().collect()
    }

    /// What a peer lacks, for its [`Fetch`].
    ///
    /// ```
    /// use pomelogate::state::{Fetch, Store};
    ///
    /// assert!(Store::default().serve(&Fetch::default()).parts.is_empty());
    /// ```
    pub fn serve(&self, fetch: &Fetch) -> Update {
        let parts = Subject::ALL
            .iter()
            .filter_map(|subject| self.series(*subject).part(*subject, fetch.versions.of(*subject)))
            .collect();
        Update { versions: self.versions(), parts }
    }

    /// The whole of the newest versions.
    pub fn whole(&self) -> Update {
        let parts = Subject::ALL
            .iter()
            .map(|subject| Part { subject: *subject as i32, ..self.series(*subject).whole() });
        Update { versions: self.versions(), parts: parts.collect() }
    }

    /// Takes an update; whether anything became newer. Nothing changes where it does not fit.
    ///
    /// # Errors
    ///
    /// Where the sender is behind in some subject, or a part doesn't fit.
    pub fn take(&mut self, update: &Update) -> Result<bool, Refused> {
        let before = self.versions();
        if !update.versions.covers(&before) {
            return Err(Refused::Older(update.versions));
        }
        let mut after = self.clone();
        for part in &update.parts {
            let subject = Subject::try_from(part.subject)
                .map_err(|_| Refused::Unfit(format!("unknown subject {}", part.subject)))?;
            after
                .series_mut(subject)
                .take(part)
                .map_err(|detail| Refused::Unfit(format!("{subject:?}: {detail}")))?;
        }
        if after.versions() != update.versions {
            return Err(Refused::Unfit("the parts don't lead to the versions named".to_owned()));
        }
        *self = after;
        Ok(self.versions() != before)
    }

    pub(super) fn image(&self) -> Image {
        Image {
            plans: self.plans.image(),
            allowances: self.allowances.image(),
            stops: self.stops.image(),
        }
    }

    pub(super) fn from_image(image: Image) -> Self {
        Self {
            plans: Series::from_image(image.plans),
            allowances: Series::from_image(image.allowances),
            stops: Series::from_image(image.stops),
        }
    }
}
