#include "json_reader.hpp"

#include <algorithm>
#include <cmath>

namespace siskinflow::config_detail
{

namespace
{

constexpr std::size_t max_described_bytes = 80;

/// @brief Checks a document before it is parsed: the parser itself accepts
/// duplicate fields and any nesting, and doesn't report where a fault is.
class strict_sax_handler final : public nlohmann::json_sax<json>
{
public:
    strict_sax_handler(std::string_view text, fault_list& faults)
        : text_(text), faults_(faults)
    {
    }

    bool null() override
    {
        return true;
    }
    bool boolean(bool) override
    {
        return true;
    }
    bool number_integer(number_integer_t) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return true;
    }
    bool number_float(number_float_t, const string_t&) override
    {
        return true;
    }
    bool string(string_t&) override
    {
        return true;
    }
    bool binary(binary_t&) override
    {
        return true;
    }
    bool start_object(std::size_t) override
    {
        open_keys_.emplace_back();
        return check_depth();
    }
    bool key(string_t& name) override
    {
        if (!open_keys_.back().insert(name).second)
        {
            faults_.add("$", "field " + describe(name) +
                                 " occurs twice in one object; keep one");
        }
        return true;
    }
    bool end_object() override
    {
        open_keys_.pop_back();
        return true;
    }
    bool start_array(std::size_t) override
    {
        open_keys_.emplace_back();
        return check_depth();
    }
    bool end_array() override
    {
        open_keys_.pop_back();
        return true;
    }
    bool parse_error(std::size_t position, const std::string&,
                     const nlohmann::detail::exception&) override
    {
        const auto before = text_.substr(0, std::min(position, text_.size()));
        const auto line = 1 + std::count(before.begin(), before.end(), '\n');
        faults_.add("$", "is not JSON at line " + std::to_string(line) +
                             ", byte " + std::to_string(position) +
                             "; check commas, quotes and brackets there");
        return false;
    }

private:
    bool check_depth()
    {
        if (open_keys_.size() <= max_json_depth)
        {
            return true;
        }
        faults_.add("$", "is nested deeper than " +
                             std::to_string(max_json_depth) +
                             " levels; use the documented form");
        return false;
    }

    std::string_view text_;
    fault_list& faults_;
    /// Keys found so far, one set per open object or list.
    std::vector<std::set<std::string>> open_keys_;
};

std::string range_text(const std::string& low, const std::string& high)
{
    return low + " to " + high;
}

/// @brief A secret value is never shown, since an operator may have written
/// a key in clear.
std::string describe_unless_secret(const json& value, const text_format& format)
{
    return format.secret ? "the value (not shown)" : describe(value);
}

std::string number_text(double value)
{
    return json(value).dump();
}

bool read_unsigned(const json& value, std::uint64_t& out)
{
    if (!value.is_number_unsigned())
    {
        return false;
    }
    out = value.get<std::uint64_t>();
    return true;
}

} // namespace

void fault_list::add(std::string_view path, std::string_view message)
{
    ++count_;
    if (lines_.size() < max_listed_faults)
    {
        lines_.push_back(std::string(path) + ": " + std::string(message));
    }
}

std::string fault_list::text() const
{
    std::string out;
    for (const auto& line : lines_)
    {
        out += out.empty() ? "" : "\n";
        out += line;
    }
    if (count_ > lines_.size())
    {
        out += "\nand " + std::to_string(count_ - lines_.size()) + " more";
    }
    return out;
}

std::string describe(const json& value)
{
    if (value.is_structured())
    {
        return value.is_array() ? "a list" : "an object";
    }
    std::string text =
        value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > max_described_bytes)
    {
        text.resize(max_described_bytes);
        text += "...";
    }
    return text;
}

std::optional<json> parse_document(std::string_view text, fault_list& faults)
{
    strict_sax_handler handler(text, faults);
    json::sax_parse(text, &handler);
    if (!faults.empty())
    {
        return std::nullopt;
    }
    return json::parse(text, nullptr, false);
}

object_reader::object_reader(const json& value, std::string path,
                             fault_list& faults)
    : path_(std::move(path)), faults_(faults)
{
    if (value.is_object())
    {
        value_ = &value;
        return;
    }
    faults_.add(path_, describe(value) + " is not an object; write {...}");
}

std::string object_reader::path_of(const char* name) const
{
    return path_ + "." + name;
}

const json* object_reader::field(const char* name)
{
    requested_fields_.emplace(name);
    if (value_ == nullptr)
    {
        return nullptr;
    }
    const auto found = value_->find(name);
    return found == value_->end() ? nullptr : &*found;
}

void object_reader::require(const char* name, const char* expected)
{
    if (value_ != nullptr && field(name) == nullptr)
    {
        faults_.add(path_of(name), std::string("is missing; give ") + expected);
    }
}

std::optional<std::string> object_reader::text(const char* name,
                                               const text_format& format)
{
    const json* value = field(name);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    if (!value->is_string() ||
        !format.accepts(value->get_ref<const std::string&>()))
    {
        faults_.add(path_of(name), describe_unless_secret(*value, format) +
                                       " is not " + format.description);
        return std::nullopt;
    }
    return value->get<std::string>();
}

std::optional<bool> object_reader::boolean(const char* name)
{
    const json* value = field(name);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    if (!value->is_boolean())
    {
        faults_.add(path_of(name), describe(*value) + " is not true or false");
        return std::nullopt;
    }
    return value->get<bool>();
}

std::optional<std::uint64_t> object_reader::integer(const char* name,
                                                    integer_range range)
{
    const json* value = field(name);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    if (!read_unsigned(*value, number) || number < range.low ||
        number > range.high)
    {
        faults_.add(path_of(name), describe(*value) +
                                       " is not a whole number from " +
                                       range_text(std::to_string(range.low),
                                                  std::to_string(range.high)));
        return std::nullopt;
    }
    return number;
}

std::optional<double> object_reader::number(const char* name,
                                            number_range range)
{
    const json* value = field(name);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    const double number =
        value->is_number() ? value->get<double>() : std::nan("");
    if (!(number >= range.low && number <= range.high))
    {
        faults_.add(path_of(name), describe(*value) + " is not a number from " +
                                       range_text(number_text(range.low),
                                                  number_text(range.high)));
        return std::nullopt;
    }
    return number;
}

const json* object_reader::list(const char* name)
{
    const json* value = field(name);
    if (value != nullptr && !value->is_array())
    {
        faults_.add(path_of(name),
                    describe(*value) + " is not a list; write [...]");
        return nullptr;
    }
    return value;
}

std::optional<std::vector<std::string>>
object_reader::texts(const char* name, const text_format& format,
                     std::size_t max_items)
{
    const json* items = list(name);
    if (items == nullptr)
    {
        return std::nullopt;
    }
    if (items->size() > max_items)
    {
        faults_.add(path_of(name), std::to_string(items->size()) +
                                       " items are more than the limit of " +
                                       std::to_string(max_items));
        return std::nullopt;
    }
    std::vector<std::string> out;
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items->size(); ++i)
    {
        const json& item = (*items)[i];
        const std::string path = path_of(name) + "[" + std::to_string(i) + "]";
        if (!item.is_string() ||
            !format.accepts(item.get_ref<const std::string&>()))
        {
            faults_.add(path, describe_unless_secret(item, format) +
                                  " is not " + format.description);
        }
        else if (!seen.insert(item.get<std::string>()).second)
        {
            faults_.add(path, describe_unless_secret(item, format) +
                                  " occurs twice; keep one");
        }
        else
        {
            out.push_back(item.get<std::string>());
        }
    }
    return out;
}

std::optional<std::vector<int>> object_reader::integers(const char* name,
                                                        integer_range range,
                                                        std::size_t max_items)
{
    const json* items = list(name);
    if (items == nullptr)
    {
        return std::nullopt;
    }
    if (items->size() > max_items)
    {
        faults_.add(path_of(name), std::to_string(items->size()) +
                                       " items are more than the limit of " +
                                       std::to_string(max_items));
        return std::nullopt;
    }
    std::vector<int> out;
    std::set<std::uint64_t> seen;
    for (std::size_t i = 0; i < items->size(); ++i)
    {
        const json& item = (*items)[i];
        const std::string path = path_of(name) + "[" + std::to_string(i) + "]";
        std::uint64_t number = 0;
        if (!read_unsigned(item, number) || number < range.low ||
            number > range.high)
        {
            faults_.add(path, describe(item) + " is not a whole number from " +
                                  range_text(std::to_string(range.low),
                                             std::to_string(range.high)));
        }
        else if (!seen.insert(number).second)
        {
            faults_.add(path, describe(item) + " occurs twice; keep one");
        }
        else
        {
            out.push_back(static_cast<int>(number));
        }
    }
    return out;
}

void object_reader::objects(const char* name,
                            const std::function<void(object_reader&)>& read)
{
    const json* items = list(name);
    if (items == nullptr)
    {
        return;
    }
    for (std::size_t i = 0; i < items->size(); ++i)
    {
        object_reader item((*items)[i],
                           path_of(name) + "[" + std::to_string(i) + "]",
                           faults_);
        read(item);
        item.finish();
    }
}

void object_reader::object(const char* name,
                           const std::function<void(object_reader&)>& read)
{
    const json* value = field(name);
    if (value == nullptr)
    {
        return;
    }
    object_reader nested(*value, path_of(name), faults_);
    read(nested);
    nested.finish();
}

void object_reader::finish()
{
    if (value_ == nullptr)
    {
        return;
    }
    for (const auto& [name, value] : value_->items())
    {
        if (!requested_fields_.contains(name))
        {
            faults_.add(path_, "field " + describe(name) +
                                   " is unknown; correct or remove it");
        }
    }
}

} // namespace siskinflow::config_detail
