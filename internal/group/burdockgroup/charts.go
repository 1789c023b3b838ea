package burdockgroup

import (
	"embed"

	"burdockbend.example/burdockbend/internal/state/burdockchart"
)

//go:embed *.chart
var chartFiles embed.FS

// RankPhase is a state of rank.chart.
type RankPhase string

// States of rank.chart.
const (
	RankLearning  RankPhase = "learning"
	RankOrdering  RankPhase = "ordering"
	RankEmpty     RankPhase = "empty"
	RankRunning   RankPhase = "running"
	RankArmed     RankPhase = "armed"
	RankCommitted RankPhase = "committed"
)

type rankEvent string

const (
	rankFenceLearned  rankEvent = "fenceLearned"
	rankEngineLost    rankEvent = "engineLost"
	rankSeenEmpty     rankEvent = "seenEmpty"
	rankSeenRunning   rankEvent = "seenRunning"
	rankSeenArmed     rankEvent = "seenArmed"
	rankSeenCommitted rankEvent = "seenCommitted"
	rankRead          rankEvent = "read"
	rankLoad          rankEvent = "load"
	rankArm           rankEvent = "arm"
	rankCommit        rankEvent = "commit"
	rankRelease       rankEvent = "release"
	rankAbort         rankEvent = "abort"
	rankBegin         rankEvent = "begin"
	rankWithdraw      rankEvent = "withdraw"
)

// ControllerPhase is a state of controller.chart.
type ControllerPhase string

// States of controller.chart.
const (
	ControllerIdle        ControllerPhase = "idle"
	ControllerReading     ControllerPhase = "reading"
	ControllerResting     ControllerPhase = "resting"
	ControllerSettling    ControllerPhase = "settling"
	ControllerLoading     ControllerPhase = "loading"
	ControllerArming      ControllerPhase = "arming"
	ControllerCommitting  ControllerPhase = "committing"
	ControllerWithdrawing ControllerPhase = "withdrawing"
	ControllerReleasing   ControllerPhase = "releasing"
)

type controllerEvent string

const (
	controllerLeaseHeld    controllerEvent = "leaseHeld"
	controllerLeaseLost    controllerEvent = "leaseLost"
	controllerSurprise     controllerEvent = "surprise"
	controllerFoundUndone  controllerEvent = "foundUndone"
	controllerFoundDecided controllerEvent = "foundDecided"
	controllerFoundSettled controllerEvent = "foundSettled"
	controllerMapWanted    controllerEvent = "mapWanted"
	controllerGiveUp       controllerEvent = "giveUp"
	controllerAllLoaded    controllerEvent = "allLoaded"
	controllerAllArmed     controllerEvent = "allArmed"
	controllerTooLate      controllerEvent = "tooLate"
	controllerOverdue      controllerEvent = "overdue"
	controllerAllCommitted controllerEvent = "allCommitted"
	controllerStuck        controllerEvent = "stuck"
	controllerAllWithdrawn controllerEvent = "allWithdrawn"
	controllerAllReleased  controllerEvent = "allReleased"
	controllerAllSettled   controllerEvent = "allSettled"
)

var (
	rankChart = loadChart("rank.chart",
		[]RankPhase{
			RankLearning, RankOrdering, RankEmpty, RankRunning, RankArmed, RankCommitted,
		},
		[]rankEvent{
			rankFenceLearned, rankEngineLost,
			rankSeenEmpty, rankSeenRunning, rankSeenArmed, rankSeenCommitted,
			rankRead, rankLoad, rankArm, rankCommit, rankRelease, rankAbort, rankBegin, rankWithdraw,
		})
	controllerChart = loadChart("controller.chart",
		[]ControllerPhase{
			ControllerIdle, ControllerReading, ControllerResting, ControllerSettling,
			ControllerLoading, ControllerArming, ControllerCommitting, ControllerWithdrawing, ControllerReleasing,
		},
		[]controllerEvent{
			controllerLeaseHeld, controllerLeaseLost, controllerSurprise,
			controllerFoundUndone, controllerFoundDecided, controllerFoundSettled,
			controllerMapWanted, controllerGiveUp, controllerAllLoaded, controllerAllArmed,
			controllerTooLate, controllerOverdue, controllerAllCommitted, controllerStuck, controllerAllWithdrawn,
			controllerAllReleased, controllerAllSettled,
		})
)

// loadChart loads one embedded chart. The files are part of the program, so an error is a
// bug in the source and appears when the program starts.
func loadChart[S, E ~string](file string, states []S, events []E) burdockchart.Typed[S, E] {
	chart, err := burdockchart.Load(chartFiles, file)
	if err != nil {
		panic("burdockgroup: " + err.Error())
	}
	typed, err := burdockchart.Bind(chart, states, events)
	if err != nil {
		panic("burdockgroup: " + err.Error())
	}
	return typed
}
