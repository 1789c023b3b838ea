package main

// These types are the parts of the operator's configuration that the cases use.

type configuration struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

type route struct {
	Name      string `json:"name"`
	Hostname  string `json:"hostname"`
	Prefix    string `json:"prefix"`
	Type      string `json:"route_type"`
	Timeout   int    `json:"timeout_ms"`
	Target    int    `json:"target_latency_ms"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"attempts"`
	Public    bool   `json:"public"`
	Resumable bool   `json:"resumable"`
	Gap       int    `json:"gap_aim_ms,omitempty"`
}

type service struct {
	Name   string  `json:"name"`
	Engine *engine `json:"engine,omitempty"`
}

type limits struct {
	HeaderBytes   int `json:"header_bytes"`
	BodyBytes     int `json:"max_body_bytes"`
	HeaderTimeout int `json:"header_timeout_ms"`
	IdleTimeout   int `json:"idle_timeout_ms"`
}

type engine struct {
	Slots       int     `json:"slots"`
	Stride      int     `json:"stride"`
	StepMillis  float64 `json:"step_ms"`
	PerSeq      float64 `json:"per_seq_ms"`
	PerContext  float64 `json:"context_per_k"`
	ReadPerS    float64 `json:"read_per_s"`
	Sets        int     `json:"sets"`
	Experts     int     `json:"experts"`
	Places      int     `json:"places"`
	Spare       int     `json:"spare"`
	ExpertMB    float64 `json:"expert_mb"`
	LinkMbps    float64 `json:"link_mbps"`
	ExpertShare float64 `json:"expert_share"`
	Usual       usual   `json:"usual"`
}

type usual struct {
	Prompt int `json:"prompt"`
	Answer int `json:"answer"`
}

// sheetEngine holds the figures of the model replicas on the sheet of the sites.
func sheetEngine() *engine {
	return &engine{
		Slots: 12, Stride: 4, StepMillis: 4.55, PerSeq: 0.905, PerContext: 0.0183, ReadPerS: 61400,
		Sets: 4, Experts: 64, Places: 16, Spare: 2, ExpertMB: 2500, LinkMbps: 180000, ExpertShare: 0.85,
		Usual: usual{Prompt: 800, Answer: 96},
	}
}

var sheetLimits = limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeout: 5000, IdleTimeout: 30000}
