// Command scenes plays the review's script cases: it starts the product's own processes as
// the deploy file says, with stand-ins for callers, operators, workers and the platform,
// and checks one rule by what these see.
//
//	scenes CASE FOLDER
//
// It writes record.txt to the folder and exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not be played. With TROUBLE=0 in the environment the disruption
// is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld, exitBroken, exitNotPlayed = 0, 1, 2
	// longestCase bounds a case as a whole.
	longestCase = 110 * time.Second
)

// scene is one case. It returns whether the rule was broken; an error means that the case
// could not be played.
type scene func(*site) (broken bool, err error)

var scenes = map[string]scene{
	"waiting-gang":   playWaitingGang,
	"gang-failures":  playGangFailures,
	"full-rack":      playFullRack,
	"replaced-lives": playReplacedLives,
	"crowded-pool":   playCrowdedPool,
	"taken-machines": playTakenMachines,
	"shared-id":      playSharedID,
	"long-task":      playLongTask,
}

func main() { os.Exit(playCase()) }

func playCase() int {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scenes CASE FOLDER")
		return exitNotPlayed
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	defer func() { _ = file.Close() }()
	r := newRecord(file)
	s := newSite(r, os.Getenv("TROUBLE") != "0")
	broken, err := playOn(s, scenes[os.Args[1]])
	switch {
	case err != nil:
		r.note("NOT PLAYED: %v", err)
		return exitNotPlayed
	case broken:
		r.note("RULE BROKEN")
		return exitBroken
	default:
		r.note("rule held")
		return exitHeld
	}
}

// playOn plays a case on a site and ends all its processes.
func playOn(s *site, play scene) (broken bool, err error) {
	defer s.stop()
	timer := time.AfterFunc(longestCase, func() {
		s.record.note("NOT PLAYED: the case took too long")
		s.stop()
		os.Exit(exitNotPlayed)
	})
	defer timer.Stop()
	broken, err = play(s)
	if processErr := s.unexpectedEnd(); processErr != nil {
		return false, errors.Join(err, processErr)
	}
	return broken, err
}
