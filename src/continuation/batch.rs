use prost::Message;

/// Records of streams, as a VM sends them to a replica.
///
/// The lists `keys`, `version_indexes` and `time_left_ms` run in parallel.
#[derive(Clone, PartialEq, Message)]
pub struct Batch {
    /// The versions that the records name. An empty one stands for versions that conflict.
    #[prost(string, repeated, tag = "1")]
    pub versions: Vec<String>,
    /// The [`Key`](super::Key) of each stream.
    #[prost(fixed64, repeated, tag = "2")]
    pub keys: Vec<u64>,
    /// The position of each stream's version in `versions`.
    #[prost(uint32, repeated, tag = "3")]
    pub version_indexes: Vec<u32>,
    /// How much longer each record counts.
    #[prost(uint32, repeated, tag = "4")]
    pub time_left_ms: Vec<u32>,
}

impl Batch {
    /// The key, version and time left in milliseconds of each record. Records that are incomplete
    /// or name no version of the list are left out.
    ///
    /// ```
    /// use pomelogate::continuation::Batch;
    ///
    /// let batch = Batch {
    ///     versions: vec!["v1".to_owned()],
    ///     keys: vec![7, 8, 9],
    ///     version_indexes: vec![0, 4, 0],
    ///     time_left_ms: vec![250, 250],
    /// };
    /// assert_eq!(batch.records().collect::<Vec<_>>(), [(7, "v1", 250)]);
    /// ```
    pub fn records(&self) -> impl Iterator<Item = (u64, &str, u32)> {
        let parts = self.keys.iter().zip(&self.version_indexes).zip(&self.time_left_ms);
        parts.filter_map(|((key, version_index), time_left_ms)| {
            let version = self.versions.get(usize::try_from(*version_index).ok()?)?;
            Some((*key, version.as_str(), *time_left_ms))
        })
    }
}
