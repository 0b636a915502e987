#ifndef BULRUSHWELL_TOOL_H
#define BULRUSHWELL_TOOL_H

/**
 * DOC: Command-line tool
 *
 * docs/man/bulrushwell.1 documents the commands and the exit codes. Codes are
 * never renumbered: scripts depend on them.
 */
typedef enum {
	TOOL_EXIT_OK = 0,
	TOOL_EXIT_FAILED = 1,	 /* any failure that has no code of its own */
	TOOL_EXIT_USAGE = 2,	 /* the command line is wrong */
	TOOL_EXIT_INVALID = 3,	 /* the contract or request is refused */
	TOOL_EXIT_FORBIDDEN = 4, /* unauthorised or forbidden */
	TOOL_EXIT_CONFLICT = 5,	 /* somebody else changed it first */
	TOOL_EXIT_NOT_RUN = 6,	 /* refused; certain that nothing ran */
	TOOL_EXIT_PARTIAL = 7,	 /* a query answer without all shards */
	TOOL_EXIT_OUTCOME_UNKNOWN = 8, /* it may have run or been written */
	TOOL_EXIT_UNREACHABLE = 9, /* no connection; certain that nothing ran */
	TOOL_EXIT_LAGGING = 10 /* written, but not yet in force everywhere */
} tool_exit_t;

/** tool_main() - Runs one command; returns a &tool_exit_t. */
int tool_main(int argc, char **argv);

#endif
