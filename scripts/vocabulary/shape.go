package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

const (
	shapeConfig  = ".revive-shape.toml"
	maxFileLines = 400
)

// checkShape checks the shape of functions, with revive, and the length of files.
func checkShape(root string) ([]finding, error) {
	findings, err := checkFunctions(root)
	if err != nil {
		return nil, err
	}
	files, err := checkFiles(root)
	return append(findings, files...), err
}

// checkFunctions runs revive, whose exit code is 1 if it has findings.
func checkFunctions(root string) ([]finding, error) {
	cmd := exec.Command("go", "tool", "revive", "-config", shapeConfig, "-formatter", "json", "./...")
	cmd.Dir = root
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil && cmd.ProcessState.ExitCode() != 1 {
		return nil, fmt.Errorf("revive: %w: %s", err, stderr.String())
	}
	return parseFunctions(out)
}

func parseFunctions(out []byte) (findings []finding, err error) {
	var failures []struct {
		Failure  string
		RuleName string
		Position struct{ Start struct{ Filename, Line any } }
	}
	if err := json.Unmarshal(out, &failures); err != nil {
		return nil, fmt.Errorf("reading the output of revive: %w: %.200s", err, out)
	}
	for _, f := range failures {
		file := filepath.ToSlash(filepath.Clean(fmt.Sprint(f.Position.Start.Filename)))
		at := fmt.Sprintf("%s:%v", file, f.Position.Start.Line)
		findings = append(findings, finding{checkOfShape, filepath.ToSlash(filepath.Dir(file)), at, f.RuleName + ": " + f.Failure})
	}
	return findings, nil
}

// checkFiles returns the files that are too long. Test files and generated code are not measured.
func checkFiles(root string) (findings []finding, err error) {
	err = eachGoFile(root, func(path string) error {
		if strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if lines := bytes.Count(text, []byte("\n")); lines > maxFileLines && !bytes.Contains(text, []byte("\n// Code generated ")) && !bytes.HasPrefix(text, []byte("// Code generated ")) {
			findings = append(findings, finding{checkOfShape, filepath.ToSlash(filepath.Dir(path)), path, fmt.Sprintf("file-length: %d lines (max %d)", lines, maxFileLines)})
		}
		return nil
	})
	return findings, err
}
