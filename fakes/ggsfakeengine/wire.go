package ggsfakeengine

import "time"

type completionWire struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"` //nolint:tagliatelle // the name in the OpenAI API
}

type deltaWire struct {
	Content string `json:"content"`
}

type choiceWire struct {
	Index        int        `json:"index"`
	Delta        *deltaWire `json:"delta,omitempty"`
	Message      *deltaWire `json:"message,omitempty"`
	FinishReason *string    `json:"finish_reason"` //nolint:tagliatelle // the name in the OpenAI API
}

type answerWire struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []choiceWire `json:"choices"`
}

type orderWire struct {
	Adapter string `json:"adapter"`
	Fence   uint64 `json:"fence"`
}

type errorWire struct {
	Error errorBodyWire `json:"error"`
}

type errorBodyWire struct {
	Kind    string `json:"kind"`
	Outcome string `json:"outcome,omitempty"`
	Detail  string `json:"detail"`
	Seen    uint64 `json:"seen,omitempty"`
}

type residentWire struct {
	Adapter string `json:"adapter"`
	Running int    `json:"running"`
}

type reportWire struct {
	Endpoint    string         `json:"endpoint"`
	Incarnation string         `json:"incarnation"`
	Running     int            `json:"running"`
	Resident    []residentWire `json:"resident"`
	Loading     []string       `json:"loading"`
	At          time.Time      `json:"at"`
}

type runWire struct {
	ID    string `json:"id"`
	Count int    `json:"count"`
}

type runsWire struct {
	Runs []runWire `json:"runs"`
}

type statsWire struct {
	Started        uint64 `json:"started"`
	Done           uint64 `json:"done"`
	Cancelled      uint64 `json:"cancelled"`
	BrokenByUnload uint64 `json:"brokenByUnload"`
	NotLoaded      uint64 `json:"notLoaded"`
	Loads          uint64 `json:"loads"`
	LoadFailures   uint64 `json:"loadFailures"`
	Unloads        uint64 `json:"unloads"`
	Fenced         uint64 `json:"fenced"`
	Tokens         uint64 `json:"tokens"`
	Waiting        int    `json:"waiting"`
	BusySlots      string `json:"busySlots"`
}

type faultsWire struct {
	Restart          bool   `json:"restart"`
	LoadFails        int    `json:"loadFails"`
	LoseOrderAnswers int    `json:"loseOrderAnswers"`
	CutStreamAfter   int    `json:"cutStreamAfter"`
	Refuse           int    `json:"refuse"`
	Freeze           string `json:"freeze"`
	ReportLag        string `json:"reportLag"`
}

// Error kinds and outcomes in answers.
const (
	kindNotLoaded  = "adapterNotLoaded"
	kindFenced     = "fenced"
	kindNoSlot     = "noAdapterSlot"
	kindInUse      = "adapterInUse"
	kindLoadFailed = "loadFailed"
	kindBadCall    = "badCall"
	kindRefused    = "refused"
	outcomeNotRun  = "notRun"
)
