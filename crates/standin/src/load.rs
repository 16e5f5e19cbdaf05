//! Sends requests at given rates and measures what comes back.
