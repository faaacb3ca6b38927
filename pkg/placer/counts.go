package placer

// Counts are the event totals of a cell.
type Counts struct {
	Starts    int64 `json:"starts"`
	Done      int64 `json:"done"`
	Failed    int64 `json:"failed"`
	Cancelled int64 `json:"cancelled"`
	Evicted   int64 `json:"evicted"`
	Lost      int64 `json:"lost"`
	Throttled int64 `json:"throttled"`
}
