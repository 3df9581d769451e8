// Package plot draws the pictures of docs/img from the files of measurements: the JSON report of internal/capacity, the
// lines of internal/clusterbench and the CSV of internal/dispatch/simulate that Simulate writes.
//
// A Chart says what is drawn, and Draw chooses the format by the file's extension: SVG for the pages, PNG to look at.
package plot
