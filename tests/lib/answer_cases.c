#include "answer_cases.h"

#define TEXT(text)                        \
	{                                 \
		text "", sizeof(text) - 1 \
	}
#define SOUND .sound = true
/* Rows that differ in one part. */
#define STATUS_LINE(text) .status_line = TEXT(text)
#define FIRST_LINE(text) .first_line = TEXT(text)
#define LENGTH_LINE(text) .length_line = TEXT(text)
#define LAST_LINE(text) .last_line = TEXT(text)
#define HEAD_END(text) .head_end = TEXT(text)
#define BODY(text) .body = TEXT(text)
#define CHUNKED LENGTH_LINE("Transfer-Encoding: chunked\r\n")

const answer_case_t answer_line_cases[] = {
    {"an ordinary response", SOUND},

    /* HTTP-version = "HTTP" "/" DIGIT "." DIGIT */
    {"version 1.0", STATUS_LINE("HTTP/1.0 200 OK\r\n"), SOUND},
    {"a name in lower case", STATUS_LINE("http/1.1 200 OK\r\n")},
    {"a name in mixed case", STATUS_LINE("HTTp/1.1 200 OK\r\n")},
    {"another name", STATUS_LINE("HTTQ/1.1 200 OK\r\n")},
    {"a name with a prefix", STATUS_LINE("XHTTP/1.1 200 OK\r\n")},
    {"a name with a suffix", STATUS_LINE("HTTPS/1.1 200 OK\r\n")},
    {"no name", STATUS_LINE("/1.1 200 OK\r\n")},
    {"no slash", STATUS_LINE("HTTP1.1 200 OK\r\n")},
    {"a blank before the slash", STATUS_LINE("HTTP /1.1 200 OK\r\n")},
    {"a blank after the slash", STATUS_LINE("HTTP/ 1.1 200 OK\r\n")},
    {"no version", STATUS_LINE("HTTP 200 OK\r\n")},
    {"no numbers", STATUS_LINE("HTTP/ 200 OK\r\n")},
    {"no major number", STATUS_LINE("HTTP/.1 200 OK\r\n")},
    {"no minor number", STATUS_LINE("HTTP/1. 200 OK\r\n")},
    {"a version without a dot", STATUS_LINE("HTTP/1 200 OK\r\n")},
    {"a comma in the version", STATUS_LINE("HTTP/1,1 200 OK\r\n")},
    {"two digits before the dot", STATUS_LINE("HTTP/01.1 200 OK\r\n")},
    {"two digits after the dot", STATUS_LINE("HTTP/1.10 200 OK\r\n")},
    {"a third number", STATUS_LINE("HTTP/1.1.1 200 OK\r\n")},
    {"a letter as major number", STATUS_LINE("HTTP/x.1 200 OK\r\n")},
    {"a letter as minor number", STATUS_LINE("HTTP/1.x 200 OK\r\n")},
    {"a sign in the version", STATUS_LINE("HTTP/1.-1 200 OK\r\n")},
    {"an older major version", STATUS_LINE("HTTP/0.9 200 OK\r\n")},
    {"a newer major version", STATUS_LINE("HTTP/3.0 200 OK\r\n")},
    {"a blank before the version", STATUS_LINE(" HTTP/1.1 200 OK\r\n")},
    {"an empty line before it", STATUS_LINE("\r\nHTTP/1.1 200 OK\r\n")},
    {"a NUL before the version", STATUS_LINE("\0HTTP/1.1 200 OK\r\n")},
    {"no status line", STATUS_LINE("X-A: b\r\n")},

    /* SP between version and status */
    {"no blank before the status", STATUS_LINE("HTTP/1.1200 OK\r\n")},
    {"two blanks before the status", STATUS_LINE("HTTP/1.1  200 OK\r\n")},
    {"a tab before the status", STATUS_LINE("HTTP/1.1\t200 OK\r\n")},
    {"a NUL before the status", STATUS_LINE("HTTP/1.1\0200 OK\r\n")},

    /* status-code = 3DIGIT, from 100 to 599 */
    {"status 299", STATUS_LINE("HTTP/1.1 299 OK\r\n"), SOUND, .status = 299},
    {"status 400", STATUS_LINE("HTTP/1.1 400 No\r\n"), SOUND, .status = 400},
    {"status 499", STATUS_LINE("HTTP/1.1 499 No\r\n"), SOUND, .status = 499},
    {"status 599", STATUS_LINE("HTTP/1.1 599 No\r\n"), SOUND, .status = 599},
    {"status 000", STATUS_LINE("HTTP/1.1 000 OK\r\n")},
    {"status 001", STATUS_LINE("HTTP/1.1 001 OK\r\n")},
    {"status 020", STATUS_LINE("HTTP/1.1 020 OK\r\n")},
    {"status 099", STATUS_LINE("HTTP/1.1 099 OK\r\n")},
    {"status 600", STATUS_LINE("HTTP/1.1 600 OK\r\n")},
    {"status 999", STATUS_LINE("HTTP/1.1 999 OK\r\n")},
    {"no status", STATUS_LINE("HTTP/1.1 OK\r\n")},
    {"an empty status", STATUS_LINE("HTTP/1.1  OK\r\n")},
    {"only a version", STATUS_LINE("HTTP/1.1\r\n")},
    {"only a version and a blank", STATUS_LINE("HTTP/1.1 \r\n")},
    {"one digit", STATUS_LINE("HTTP/1.1 2 OK\r\n")},
    {"two digits", STATUS_LINE("HTTP/1.1 20 OK\r\n")},
    {"four digits", STATUS_LINE("HTTP/1.1 2000 OK\r\n")},
    {"four digits, the first 0", STATUS_LINE("HTTP/1.1 0200 OK\r\n")},
    {"many digits", STATUS_LINE("HTTP/1.1 4294967496 OK\r\n")},
    {"a positive status", STATUS_LINE("HTTP/1.1 +200 OK\r\n")},
    {"a negative status", STATUS_LINE("HTTP/1.1 -200 OK\r\n")},
    {"a letter first in the status", STATUS_LINE("HTTP/1.1 a00 OK\r\n")},
    {"a letter in the status", STATUS_LINE("HTTP/1.1 2a0 OK\r\n")},
    {"a letter last in the status", STATUS_LINE("HTTP/1.1 20a OK\r\n")},
    {"a blank in the status", STATUS_LINE("HTTP/1.1 20 0 OK\r\n")},
    {"a fraction as status", STATUS_LINE("HTTP/1.1 200.5 OK\r\n")},
    {"digits above ASCII", STATUS_LINE("HTTP/1.1 2\xb2\xb9 OK\r\n")},

    /* SP between status and reason, also if there is no reason */
    {"no blank after the status", STATUS_LINE("HTTP/1.1 200OK\r\n")},
    {"neither blank nor reason", STATUS_LINE("HTTP/1.1 200\r\n")},
    {"a tab after the status", STATUS_LINE("HTTP/1.1 200\tOK\r\n")},
    {"a dash after the status", STATUS_LINE("HTTP/1.1 200-OK\r\n")},
    {"a NUL after the status", STATUS_LINE("HTTP/1.1 200\0OK\r\n")},

    /* reason-phrase = 1*( HTAB / SP / VCHAR / obs-text ) */
    {"no reason", STATUS_LINE("HTTP/1.1 200 \r\n"), SOUND},
    {"a reason of blanks", STATUS_LINE("HTTP/1.1 200   \r\n"), SOUND},
    {"a reason of words", STATUS_LINE("HTTP/1.1 200 A b, \"c\"!\r\n"), SOUND},
    {"a tab in the reason", STATUS_LINE("HTTP/1.1 200 A\tb\r\n"), SOUND},
    {"a reason above ASCII", STATUS_LINE("HTTP/1.1 200 \xc3\xa9\xff\r\n"),
	SOUND},
    {"a NUL in the reason", STATUS_LINE("HTTP/1.1 200 O\0K\r\n")},
    {"a bell in the reason", STATUS_LINE("HTTP/1.1 200 O\aK\r\n")},
    {"a vertical tab in the reason", STATUS_LINE("HTTP/1.1 200 O\vK\r\n")},
    {"an escape in the reason", STATUS_LINE("HTTP/1.1 200 O\033K\r\n")},
    {"a delete in the reason", STATUS_LINE("HTTP/1.1 200 O\177K\r\n")},
    {"a CR in the reason", STATUS_LINE("HTTP/1.1 200 O\rK\r\n")},

    /* CRLF at the end of the status line */
    {"a status line that ends with LF", STATUS_LINE("HTTP/1.1 200 OK\n")},
    {"a status line that ends with CR", STATUS_LINE("HTTP/1.1 200 OK\r")},
    {"a status line with a second CR", STATUS_LINE("HTTP/1.1 200 OK\r\r\n")},
    {"a status line that ends with LF CR", STATUS_LINE("HTTP/1.1 200 OK\n\r")},

    /* field-name = 1*tchar */
    {"a name of one letter", LAST_LINE("X: b\r\n"), SOUND},
    {"a name of all kinds of bytes", LAST_LINE("X!#$%&'*+-.^_`|~09azAZ: b\r\n"),
	SOUND},
    {"an empty name", LAST_LINE(": b\r\n")},
    {"a blank as name", LAST_LINE(" : b\r\n")},
    {"a blank in the name", LAST_LINE("X A: b\r\n")},
    {"a tab in the name", LAST_LINE("X\tA: b\r\n")},
    {"a blank after the name", LAST_LINE("X-A : b\r\n")},
    {"a tab after the name", LAST_LINE("X-A\t: b\r\n")},
    {"a NUL in the name", LAST_LINE("X\0A: b\r\n")},
    {"a control byte in the name", LAST_LINE("X\001A: b\r\n")},
    {"a vertical tab in the name", LAST_LINE("X\vA: b\r\n")},
    {"an escape in the name", LAST_LINE("X\033A: b\r\n")},
    {"a delete in the name", LAST_LINE("X\177A: b\r\n")},
    {"a CR in the name", LAST_LINE("X\rA: b\r\n")},
    {"a letter above ASCII in the name", LAST_LINE("X\xc3\xa9: b\r\n")},
    {"a quote in the name", LAST_LINE("X\"A: b\r\n")},
    {"a parenthesis in the name", LAST_LINE("X(A): b\r\n")},
    {"a comma in the name", LAST_LINE("X,A: b\r\n")},
    {"a slash in the name", LAST_LINE("X/A: b\r\n")},
    {"a semicolon in the name", LAST_LINE("X;A: b\r\n")},
    {"an equals sign in the name", LAST_LINE("X=A: b\r\n")},
    {"an angle bracket in the name", LAST_LINE("X<A: b\r\n")},
    {"a question mark in the name", LAST_LINE("X?A: b\r\n")},
    {"an at sign in the name", LAST_LINE("X@A: b\r\n")},
    {"a bracket in the name", LAST_LINE("X[A]: b\r\n")},
    {"a backslash in the name", LAST_LINE("X\\A: b\r\n")},
    {"a brace in the name", LAST_LINE("X{A}: b\r\n")},
    {"a blank in the name of the first line", FIRST_LINE("X A: b\r\n")},
    {"a blank after Content-Length", LENGTH_LINE("Content-Length : 4\r\n")},
    {"a control byte in Content-Length",
	LENGTH_LINE("Content\001-Length: 4\r\n")},
    {"a blank after Transfer-Encoding",
	LENGTH_LINE("Transfer-Encoding : chunked\r\n"),
	BODY("4\r\n[22]\r\n0\r\n\r\n")},
    {"a second length after a blank", LAST_LINE("Content-Length : 2\r\n")},

    /* ":" after the name */
    {"a line without a colon", LAST_LINE("X-A b\r\n")},
    {"a line that is only a name", LAST_LINE("X-A\r\n")},
    {"an equals sign for the colon", LAST_LINE("X-A=b\r\n")},
    {"a first line without a colon", FIRST_LINE("X-A\r\n")},

    /* OWS around the value */
    {"no blank before the value", LAST_LINE("X-A:b\r\n"), SOUND},
    {"blanks around the value", LAST_LINE("X-A:   b   \r\n"), SOUND},
    {"tabs around the value", LAST_LINE("X-A:\t b \t\r\n"), SOUND},
    {"blanks around the length", LENGTH_LINE("Content-Length:\t 4 \r\n"),
	SOUND},
    {"a vertical tab before the value", LAST_LINE("X-A:\vb\r\n")},
    {"a form feed after the value", LAST_LINE("X-A: b\f\r\n")},

    /* field-value = *( VCHAR / obs-text / SP / HTAB ) */
    {"an empty value", LAST_LINE("X-A:\r\n"), SOUND},
    {"a value of blanks", LAST_LINE("X-A:  \r\n"), SOUND},
    {"a value of words", LAST_LINE("X-A: b c\td, \"e:f\"; (g)\r\n"), SOUND},
    {"a value above ASCII", LAST_LINE("X-A: \xc3\xa9\xff\r\n"), SOUND},
    {"a colon in the value", LAST_LINE("X-A: b: c\r\n"), SOUND},
    {"a repeated field", LAST_LINE("X-A: b\r\nX-A: b\r\n"), SOUND},
    {"a NUL in the value", LAST_LINE("X-A: b\0c\r\n")},
    {"a NUL as value", LAST_LINE("X-A: \0\r\n")},
    {"a control byte in the value", LAST_LINE("X-A: b\001c\r\n")},
    {"a backspace in the value", LAST_LINE("X-A: b\bc\r\n")},
    {"a vertical tab in the value", LAST_LINE("X-A: b\vc\r\n")},
    {"a form feed in the value", LAST_LINE("X-A: b\fc\r\n")},
    {"an escape in the value", LAST_LINE("X-A: b\033c\r\n")},
    {"a delete in the value", LAST_LINE("X-A: b\177c\r\n")},
    {"a CR in the value", LAST_LINE("X-A: b\rc\r\n")},
    {"a CR before a name", LAST_LINE("X-A: b\rContent-Length: 2\r\n")},
    {"a control byte in the first line", FIRST_LINE("X-A: b\001c\r\n")},
    {"a control byte after the length",
	LENGTH_LINE("Content-Length: 4\001\r\n")},

    /* obs-fold, which a gateway may refuse */
    {"a folded value", LAST_LINE("X-A: b\r\n c\r\n")},
    {"a value folded with a tab", LAST_LINE("X-A: b\r\n\tc\r\n")},
    {"a folded empty value", LAST_LINE("X-A:\r\n b\r\n")},
    {"a folded length", LENGTH_LINE("Content-Length:\r\n 4\r\n")},
    {"a length folded after a digit",
	LENGTH_LINE("Content-Length: 4\r\n 0\r\n")},
    {"a folded name", LAST_LINE("X-\r\n A: b\r\n")},
    {"a blank line of blanks", LAST_LINE("X-A: b\r\n  \r\n")},
    {"a blank before the first line", FIRST_LINE(" X-A: b\r\n")},
    {"a tab before the first line", FIRST_LINE("\tX-A: b\r\n")},
    {"a length after a blank", FIRST_LINE(" Content-Length: 2\r\n")},

    /* CRLF at the end of a field line, and of the head */
    {"a line that ends with LF", LAST_LINE("X-A: b\n")},
    {"a first line that ends with LF", FIRST_LINE("X-A: b\n")},
    {"a line that ends with CR", LAST_LINE("X-A: b\r")},
    {"a line with a second CR", LAST_LINE("X-A: b\r\r\n")},
    {"a line that ends with LF CR", LAST_LINE("X-A: b\n\r")},
    {"a length that ends with LF", LENGTH_LINE("Content-Length: 4\n")},
    {"a head that ends with LF", HEAD_END("\n")},
    {"a head that ends with CR", HEAD_END("\r")},
    {"a head that ends with CR CR LF", HEAD_END("\r\r\n")},
    {"a CR and another byte at the head's end", HEAD_END("\rX")},

    /* Field lines after the last chunk */
    {"chunks", CHUNKED, BODY("4\r\n[22]\r\n0\r\n\r\n"), SOUND},
    {"chunks and a trailer", CHUNKED,
	BODY("2\r\n[2\r\n2\r\n2]\r\n0\r\nX-A: b\r\nX-B:\r\n\r\n"), SOUND},
    {"a blank in the name of a trailer", CHUNKED,
	BODY("4\r\n[22]\r\n0\r\nX A: b\r\n\r\n")},
    {"a blank after the name of a trailer", CHUNKED,
	BODY("4\r\n[22]\r\n0\r\nX-A : b\r\n\r\n")},
    {"a control byte in the name of a trailer", CHUNKED,
	BODY("4\r\n[22]\r\n0\r\nX\001A: b\r\n\r\n")},
    {"a trailer without a colon", CHUNKED,
	BODY("4\r\n[22]\r\n0\r\nX-A\r\n\r\n")},
    {"a trailer without a name", CHUNKED,
	BODY("4\r\n[22]\r\n0\r\n: b\r\n\r\n")},
    {"a control byte in the value of a trailer", CHUNKED,
	BODY("4\r\n[22]\r\n0\r\nX-A: b\001\r\n\r\n")},
    {"a folded trailer", CHUNKED,
	BODY("4\r\n[22]\r\n0\r\nX-A: b\r\n c\r\n\r\n")},
    {"a status line as trailer", CHUNKED,
	BODY("4\r\n[22]\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n")},

    /* Interim responses are responses */
    {"an interim response",
	STATUS_LINE("HTTP/1.1 103 Early\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\n"),
	SOUND},
    {"two interim responses",
	STATUS_LINE("HTTP/1.1 102 \r\n\r\nHTTP/1.1 199 X\r\n\r\n"
		    "HTTP/1.1 200 OK\r\n"),
	SOUND},
    {"a broken name in an interim response",
	STATUS_LINE("HTTP/1.1 103 Early\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n")},
    {"a broken value in an interim response",
	STATUS_LINE("HTTP/1.1 103 E\r\nX-A: \001\r\n\r\nHTTP/1.1 200 OK\r\n")},
    {"a broken reason of an interim response",
	STATUS_LINE("HTTP/1.1 103 \001\r\n\r\nHTTP/1.1 200 OK\r\n")},
    {"a broken status after an interim response",
	STATUS_LINE("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 000 OK\r\n")},
    {"an interim response that ends with LF",
	STATUS_LINE("HTTP/1.1 103 Early\n\nHTTP/1.1 200 OK\r\n")},
    {"a status with the digits of an interim one",
	STATUS_LINE("HTTP/1.1 0103 Early\r\n\r\nHTTP/1.1 200 OK\r\n")},
};
const size_t answer_line_case_count = G_N_ELEMENTS(answer_line_cases);

#define NO_LENGTH LENGTH_LINE("")
#define NO_BODY BODY(""), .bodiless = true
#define ENCODED(value)                                  \
	LENGTH_LINE("Transfer-Encoding:" value "\r\n"), \
	    BODY("4\r\n[22]\r\n0\r\n\r\n")

const answer_case_t answer_length_cases[] = {
    /* Content-Length = 1*DIGIT */
    {"leading zeros", LENGTH_LINE("Content-Length: 0004\r\n"), SOUND},
    {"no body", LENGTH_LINE("Content-Length: 0\r\n"), NO_BODY, SOUND,
	.status = 404, STATUS_LINE("HTTP/1.1 404 No\r\n")},
    {"an empty length", LENGTH_LINE("Content-Length:\r\n")},
    {"a length of blanks", LENGTH_LINE("Content-Length:  \r\n")},
    {"a positive length", LENGTH_LINE("Content-Length: +4\r\n")},
    {"a negative length", LENGTH_LINE("Content-Length: -4\r\n")},
    {"a length and a letter", LENGTH_LINE("Content-Length: 4x\r\n")},
    {"a letter and a length", LENGTH_LINE("Content-Length: x4\r\n")},
    {"a word as length", LENGTH_LINE("Content-Length: four\r\n")},
    {"a hexadecimal length", LENGTH_LINE("Content-Length: 0x4\r\n")},
    {"a fraction as length", LENGTH_LINE("Content-Length: 4.0\r\n")},
    {"a blank in the length", LENGTH_LINE("Content-Length: 4 0\r\n")},
    {"a parameter of the length", LENGTH_LINE("Content-Length: 4;a\r\n")},
    {"a length in quotes", LENGTH_LINE("Content-Length: \"4\"\r\n")},
    {"two lengths in one line", LENGTH_LINE("Content-Length: 4, 2\r\n")},
    {"a length and a comma", LENGTH_LINE("Content-Length: 4,\r\n")},
    {"a length of 40 digits",
	LENGTH_LINE("Content-Length: 1000000000000000000000000000000000000004"
		    "\r\n")},
    {"a length that overflows 64 bits",
	LENGTH_LINE("Content-Length: 18446744073709551620\r\n")},
    {"two lengths", LAST_LINE("Content-Length: 2\r\n")},
    {"a second, broken length", LAST_LINE("Content-Length: x\r\n")},
    {"a first, broken length", FIRST_LINE("Content-Length: x\r\n")},

    /* Transfer-Encoding: no other than "chunked" was offered */
    {"chunks in capitals", ENCODED(" CHUNKED"), SOUND},
    {"chunks without a blank", ENCODED("chunked"), SOUND},
    {"another encoding", ENCODED(" gzip")},
    {"an encoding before the chunks", ENCODED(" gzip, chunked")},
    {"an encoding after the chunks", ENCODED(" chunked, gzip")},
    {"chunks of chunks", ENCODED(" chunked, chunked")},
    {"no encoding", ENCODED("")},
    {"the encoding identity", ENCODED(" identity")},
    {"the name of an encoding with a prefix", ENCODED(" xchunked")},
    {"the name of an encoding with a suffix", ENCODED(" chunkedx")},
    {"an encoding with a parameter", ENCODED(" chunked;q=1")},
    {"an encoding in quotes", ENCODED(" \"chunked\"")},
    {"chunks twice", ENCODED(" chunked"),
	LAST_LINE("Transfer-Encoding: chunked\r\n")},
    {"chunks and another encoding", ENCODED(" chunked"),
	LAST_LINE("Transfer-Encoding: gzip\r\n")},
    {"chunks and a length", ENCODED(" chunked"),
	LAST_LINE("Content-Length: 4\r\n")},
    {"a length and chunks", ENCODED(" chunked"),
	FIRST_LINE("Content-Length: 4\r\n")},

    /* Neither of them: the body ends with the connection */
    {"no length", NO_LENGTH, SOUND},

    /* Responses that have no body, whatever their fields say */
    {"status 204", STATUS_LINE("HTTP/1.1 204 No\r\n"), NO_LENGTH, NO_BODY,
	SOUND, .status = 204},
    {"status 304", STATUS_LINE("HTTP/1.1 304 Old\r\n"), NO_LENGTH, NO_BODY,
	SOUND, .status = 304},
    {"status 304 and a length", STATUS_LINE("HTTP/1.1 304 Old\r\n"), NO_BODY,
	SOUND, .status = 304},
    {"status 304 and a long length", STATUS_LINE("HTTP/1.1 304 Old\r\n"),
	LENGTH_LINE("Content-Length: 999999999\r\n"), NO_BODY, SOUND,
	.status = 304},
    {"status 304 and chunks", STATUS_LINE("HTTP/1.1 304 Old\r\n"), CHUNKED,
	NO_BODY, SOUND, .status = 304},
    {"an interim response with a length",
	STATUS_LINE("HTTP/1.1 103 Early\r\nContent-Length: 4\r\n\r\n"
		    "HTTP/1.1 200 OK\r\n"),
	SOUND},

    /* chunk-size [ chunk-ext ] CRLF chunk-data CRLF */
    {"a chunk extension", CHUNKED, BODY("4;a=b\r\n[22]\r\n0;c\r\n\r\n"), SOUND},
    {"zeros before the size of a chunk", CHUNKED,
	BODY("0004\r\n[22]\r\n000\r\n\r\n"), SOUND},
    {"no size of a chunk", CHUNKED, BODY("\r\n[22]\r\n0\r\n\r\n")},
    {"a sign of the size of a chunk", CHUNKED, BODY("+4\r\n[22]\r\n0\r\n\r\n")},
    {"a size of a chunk that is no number", CHUNKED,
	BODY("g\r\n[22]\r\n0\r\n\r\n")},
    {"a size of a chunk that overflows", CHUNKED,
	BODY("10000000000000000000000004\r\n[22]\r\n0\r\n\r\n")},
    {"a chunk longer than its size", CHUNKED, BODY("2\r\n[22]\r\n0\r\n\r\n")},
    {"a chunk shorter than its size", CHUNKED, BODY("6\r\n[22]\r\n0\r\n\r\n")},
    {"a CR and another byte after the size", CHUNKED,
	BODY("4\rX[22]\r\n0\r\n\r\n")},
    {"other bytes after a chunk", CHUNKED, BODY("4\r\n[22]XY0\r\n\r\n")},
};
const size_t answer_length_case_count = G_N_ELEMENTS(answer_length_cases);

const answer_case_t *
answer_line_case(const char *name)
{
	for (size_t i = 0; i < answer_line_case_count; i++)
		if (strcmp(answer_line_cases[i].name, name) == 0)
			return &answer_line_cases[i];
	g_error("no row \"%s\"", name);
}

static void
append_part(GString *text, slice_t part, const char *ordinary)
{
	if (part.data == NULL)
		g_string_append(text, ordinary);
	else
		g_string_append_len(text, part.data, (gssize)part.size);
}

GString *
answer_case_text(const answer_case_t *row, const char *fields)
{
	GString *text = g_string_new(NULL);

	append_part(text, row->status_line, "HTTP/1.1 200 OK\r\n");
	append_part(text, row->first_line, "");
	g_string_append(text, fields);
	append_part(text, row->length_line, "Content-Length: 4\r\n");
	append_part(text, row->last_line, "");
	append_part(text, row->head_end, "\r\n");
	append_part(text, row->body, ANSWER_BODY);
	return text;
}

int
answer_case_status(const answer_case_t *row)
{
	return row->status != 0 ? row->status : 200;
}

slice_t
answer_case_body(const answer_case_t *row)
{
	return slice_from(row->bodiless ? "" : ANSWER_BODY);
}
