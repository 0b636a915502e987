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
	TOOL_EXIT_FAILED = 1, /* any failure that has no code of its own */
	TOOL_EXIT_USAGE = 2,  /* the command line is wrong */
	TOOL_EXIT_INVALID =
	    3, /* the contract, request or configuration is rejected */
	TOOL_EXIT_FORBIDDEN = 4,       /* unauthorised or forbidden */
	TOOL_EXIT_CONFLICT = 5,	       /* changed by others first, or retired */
	TOOL_EXIT_NOT_RUN = 6,	       /* refused; nothing ran */
	TOOL_EXIT_PARTIAL = 7,	       /* a query answer lacks some shards */
	TOOL_EXIT_OUTCOME_UNKNOWN = 8, /* it may have run or been stored */
	TOOL_EXIT_UNREACHABLE = 9,     /* no connection; nothing ran */
	TOOL_EXIT_LAGGING = 10, /* stored, but not confirmed by all nodes */
	TOOL_EXIT_WARNINGS = 11 /* a configuration with warnings, no errors */
} tool_exit_t;

/**
 * tool_main() - Runs one command.
 *
 * Return: the exit code, a &tool_exit_t.
 */
int tool_main(int argc, char **argv);

#endif
