package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	cases := map[string]func(*record, bool) (int, error){"1": lateCopy, "2": staleOrder, "3": crashingRequest}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(failed)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	status, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.write("error", "text", err)
		fmt.Fprintln(os.Stderr, err)
		status = failed
	}
	rec.write("end", "status", status)
	os.Exit(status)
}
