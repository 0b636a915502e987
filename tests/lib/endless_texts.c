#include "endless_texts.h"

const endless_text_t endless_texts[PLAIN_ENDLESS_LINE + 1] = {
    [PLAIN_ENDLESS_HEADER] = {"HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaa"},
    [PLAIN_ENDLESS_HEADERS] = {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
    [PLAIN_ENDLESS_INTERIMS] = {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    [PLAIN_ENDLESS_CHUNK_SIZE] =
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0000"},
    [PLAIN_ENDLESS_CHUNKS] =
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	    "8\r\nabcdefgh\r\n"},
    [PLAIN_ENDLESS_BODY] = {"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n"
			    "\r\n",
	"abcdefgh"},
    [PLAIN_ENDLESS_UNFRAMED] = {"HTTP/1.1 200 OK\r\n\r\n", "abcdefgh"},
    [PLAIN_ENDLESS_TRAILERS] =
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	    "X-A: b\r\n"},
    [PLAIN_ENDLESS_LINE] = {"", "abcdefgh"},
};
