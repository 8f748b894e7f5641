package scale

import (
	"fmt"
	"strings"

	"dunereach/internal/discovery"
	"dunereach/internal/dns"
	"dunereach/internal/fake"
	"dunereach/internal/measure"
)

// maxAnswerBytes is the size of the longest answer of the name server, and maxAnswerRead the number of bytes that a router reads of one.
const maxAnswerBytes, maxAnswerRead = 8000, 9000

// listLines returns the lines of the given number of databases in an answer of the name server, with names of the given length.
func listLines(databases, nameLength int) []string {
	lines := make([]string, databases)
	for k := range lines {
		name := fmt.Sprintf("d%d", k)
		name += strings.Repeat("x", max(nameLength-len(name), 0))
		lines[k] = fmt.Sprintf("%s.east 0 80 std 0 1780000000000 127.1.%d.%d:4100", name, k/250, 1+k%250)
	}
	return lines
}

// answerFits reports whether the answer that lists the given number of databases stays within maxAnswerBytes and parses completely.
func answerFits(databases, nameLength int) bool {
	const anyID, anySerial = 1, 7
	answer := fake.ListAnswer(anyID, anySerial, discovery.ServiceName, listLines(databases, nameLength)...)
	if len(answer) > maxAnswerBytes {
		return false
	}
	list, err := dns.Parse(answer, discovery.ServiceName)
	if err != nil || len(list.Services) != databases {
		return false
	}
	for _, service := range list.Services {
		if !service.Addr.IsValid() || len(service.Texts) == 0 {
			return false
		}
	}
	return true
}

// maxListed returns the largest number of databases that one answer of the name server can list, with names of the given length.
func maxListed(nameLength int) int {
	most := 0
	for answerFits(most+1, nameLength) {
		most++
	}
	return most
}

// listByDNS measures how many databases fit into one answer, by the length of their names.
func listByDNS(bool) ([]measure.Row, error) {
	var rows []measure.Row
	for _, nameLength := range []int{5, 12, 36} { // short, as in the examples; a host name; a UUID
		maxDatabases := maxListed(nameLength)
		rows = append(rows,
			measure.Figure(fmt.Sprintf("databases in one answer of %d bytes, names of %d letters", maxAnswerBytes, nameLength), float64(maxDatabases)),
			measure.Figure(fmt.Sprintf("bytes a database in an answer, names of %d letters", nameLength), maxAnswerBytes/float64(maxDatabases)))
	}
	return rows, nil
}
