// Package docs holds the pages, and a check of their links.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	link    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	dropped = regexp.MustCompile(`[^\p{L}\p{N} _-]`)
)

// anchors are the names that the headings of a page can be linked by.
func anchors(page string) map[string]bool {
	found := map[string]bool{}
	for _, m := range heading.FindAllStringSubmatch(page, -1) {
		name := dropped.ReplaceAllString(strings.ToLower(m[1]), "")
		found[strings.ReplaceAll(strings.TrimSpace(name), " ", "-")] = true
	}
	return found
}

// A reader follows a link of a page to a page or heading that has gone.
func TestLinksLeadSomewhere(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range append(pages, "../README.md", "../examples/README.md") {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range link.FindAllStringSubmatch(string(text), -1) {
			checkLink(t, page, string(text), m[1])
		}
	}
}

func checkLink(t *testing.T, page, text, target string) {
	if strings.Contains(target, "://") {
		return
	}
	file, anchor, _ := strings.Cut(target, "#")
	if file != "" {
		data, err := os.ReadFile(filepath.Join(filepath.Dir(page), file))
		if err != nil && !isFolder(filepath.Join(filepath.Dir(page), file)) {
			t.Errorf("%s: %s leads nowhere", page, target)
			return
		}
		text = string(data)
	}
	if anchor != "" && !anchors(text)[anchor] {
		t.Errorf("%s: %s has no heading %q", page, target, anchor)
	}
}

func isFolder(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.IsDir()
}
