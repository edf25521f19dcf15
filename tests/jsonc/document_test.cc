#include "ibismux/jsonc/document.h"

#include <criterion/criterion.h>

namespace ibismux::jsonc {
namespace {

Test(document, comments_and_trailing_commas_are_allowed) {
  const Result<Document> document =
      parse("f", "// a\n{\"a\": 1, /* b */ \"b\": [true, null,],}\n");
  cr_assert(document.has_value());
  cr_assert(document->root.as_object().at("a").as_int64() == 1);
}

Test(document, keys_and_elements_have_places) {
  const Result<Document> document =
      parse("f", "{\n  \"a\": {\"b\": [1,\n   22]}\n}");
  cr_assert(document.has_value());
  cr_assert(document->positions.at("a") == (Position{2, 3}));
  cr_assert(document->positions.at("a.b") == (Position{2, 9}));
  cr_assert(document->positions.at("a.b.1").line == 3);
}

// Failure: a settings file that opens with a comment line is refused.
Test(document, comments_may_stand_ahead_and_behind) {
  cr_assert(parse("f", "// a\n /* b */ // c\n{\"a\": 1}").has_value());
  cr_assert(parse("f", "{\"a\": 1}\n// end\n").has_value());
  cr_assert(!parse("f", "// only this").has_value());
}

Test(document, a_message_stands_at_its_key) {
  const Result<Document> document = parse("f.json", "{\n  \"a\": {\"b\": 1}}");
  cr_assert(document->locate("a.b", "wrong") == "f.json:2:9: a.b: wrong");
}

Test(document, an_absent_key_stands_at_its_parent) {
  const Result<Document> document = parse("f.json", "{\n  \"a\": {}}");
  cr_assert(document->locate("a.c", "missing") == "f.json:2:3: a.c: missing");
  cr_assert(document->locate("z", "missing") == "f.json:1:1: z: missing");
}

Test(document, a_syntax_error_has_a_place) {
  const Result<Document> document = parse("f.json", "{\n  \"a\": ?}");
  cr_assert(!document.has_value());
  cr_assert(document.error().message.starts_with("f.json:2:8: "));
}

Test(document, an_unfinished_text_is_an_error) {
  cr_assert(!parse("f", "{\"a\": 1").has_value());
  cr_assert(!parse("f", "").has_value());
}

Test(document, a_key_that_stands_twice_is_an_error) {
  const Result<Document> document = parse("f", "{\"a\": 1,\n\"a\": 2}");
  cr_assert(!document.has_value());
  cr_assert(document.error().message == "f:2:1: a: stands twice");
}

}  // namespace
}  // namespace ibismux::jsonc
