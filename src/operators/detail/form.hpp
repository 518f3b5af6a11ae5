#ifndef SKYLARKDYKE_OPERATORS_DETAIL_FORM_HPP
#define SKYLARKDYKE_OPERATORS_DETAIL_FORM_HPP

#include "operators/detail/html.hpp"
#include "skylarkdyke/base/finding.hpp"
#include "skylarkdyke/config/document.hpp"

#include <map>
#include <string>
#include <vector>

namespace skylarkdyke::operators::detail {

using parameters = std::map<std::string, std::string>;

/// \brief How the text of a field becomes a JSON value.
enum class field_kind { Text, Number };

/// \brief One field of the document as a form shows it.
struct form_field {
  std::string Key;
  std::string Label;
  /// What the field means, in plain words.
  std::string Help;
  field_kind Kind = field_kind::Number;
};

/// \brief One list of the document with a row for each item.
struct form_section {
  /// Member of the document, such as "targets".
  std::string List;
  std::string Title;
  /// Fields that name an item. They are shown, and editable in a new row only.
  std::vector<form_field> Identity;
  std::vector<form_field> Fields;
  /// True if rows can be added and removed.
  bool IsOpen = false;
};

/// \brief A form over a part of the document. Its fields are named by their
/// JSON pointers, so findings of the codec and the validation belong to fields
/// without any mapping.
struct form {
  /// Last part of the path under /console.
  std::string Name;
  std::string Title;
  /// What the form is for, and what to know before using it.
  std::string Intro;
  std::vector<form_field> Fields;
  std::vector<form_section> Sections;
};

/// \brief The forms for caps, shift cap, services, targets and links.
const std::vector<form> &documentForms();

/// \brief A document with the values of a form, or all findings. The places of
/// findings are JSON pointers to the rows as the form showed them.
struct form_result {
  config::document Document;
  base::findings Findings;
  /// Row of the form for each item of the new document, by list.
  std::map<std::string, std::vector<std::size_t>> Rows;
};

/// \brief Puts the values of a form into a document. Checks form and types
/// only.
form_result applyForm(const form &Form, const config::document &Document,
                      const parameters &Values);

/// \brief Changes the places of findings from items of the new document to rows
/// of the form.
base::findings mapToRows(const form_result &Result, base::findings Findings);

/// \brief Renders the fields of a form.
/// \param Values what the operator entered, on a repeated form
/// \param Findings each is shown beside its field; those without a field come
/// first
html renderFields(const form &Form, const config::document &Document,
                  const parameters &Values, const base::findings &Findings);

/// \brief Renders findings as a list with their places.
html renderFindings(const base::findings &Findings);

} // namespace skylarkdyke::operators::detail

#endif
