//! Files that survive: synced, checksummed, under one data folder.
