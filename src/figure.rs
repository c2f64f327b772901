//! Figures: counters and histograms for each customer and class.
