package burdockid

// Layer numbers the layers of a model that have experts, from 0.
type Layer int

// Bytes counts bytes of weights.
type Bytes int64

// BytesPerSecond is a rate limit on reading weights.
type BytesPerSecond int64
