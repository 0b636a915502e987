#include "bulrushwell/tool.h"

int
main(int argc, char **argv)
{
	return tool_main(argc, argv);
}
