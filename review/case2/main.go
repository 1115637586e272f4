//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

func main() {
	cases := map[string]func(*recorder, bool) int{"overdue": playOverdue, "handover": playHandover, "gang": playGang, "long": playLong}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case2 CASE RECORD")
		os.Exit(invalid)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(invalid)
	}
	r := &recorder{file: file, began: time.Now()}
	code := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	_ = file.Close()
	os.Exit(code)
}
