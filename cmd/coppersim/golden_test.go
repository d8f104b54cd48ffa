package main

import (
	"testing"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/goldentest"
)

func TestCommandLineGolden(t *testing.T) {
	app := kingpin.New("coppersim", "")
	commands := addCommands(app)
	goldentest.CommandLine(t, app, commands)
}
