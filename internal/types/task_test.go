package types

import (
	"testing"

	"github.com/matryer/is"
)

func TestTaskNumbersAreDecodedAsEncoded(t *testing.T) {
	is := is.New(t)
	for _, want := range [][3]int{{0, 0, 0}, {0, 0, MaxTasksPerStep - 1}, {0, MaxSteps - 1, 7}, {9999, 3, 12}} {
		number := TaskNumber(want[0], want[1], want[2])
		occurrence, step, index := SplitTaskNumber(number)
		is.Equal([3]int{occurrence, step, index}, want)
		stage := StageOf(number)
		is.Equal([2]int{stage.Occurrence(), stage.Step()}, [2]int{want[0], want[1]})
		is.Equal(stage.TaskNumber(index), number)
		is.Equal(TaskID{Job: "j", TaskNumber: number}.StageID(), StageID{Job: "j", Stage: stage})
	}
}
