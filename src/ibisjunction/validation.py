"""Checks raw settings against a model and reports every mistake.

msgspec stops at the first mistake. Operators want all of them at once, so this
module walks the model field by field and validates each value with msgspec.
"""

import types
import typing
from collections.abc import Iterator, Mapping

import msgspec


def find_mistakes(
    raw: typing.Any,
    model: typing.Any,
    path: str = '',
    *,
    allows_unknown: bool = False,
) -> Iterator[str]:
    """Yield one line for each mistake, starting with the key it concerns.

    :param raw: value decoded from TOML or JSON.
    :param model: a ``msgspec.Struct`` class or any type msgspec can convert.
    :param path: key of ``raw`` within the document, empty at the top.
    :param allows_unknown: whether keys that the model lacks are ignored.
    """
    struct = _find_struct(model)
    element_type = _find_element_type(model)
    if struct is not None and isinstance(raw, Mapping):
        yield from _check_fields(raw, struct, path, allows_unknown)
    elif element_type is not None and raw and isinstance(raw, list | Mapping):
        for key, element in _list_elements(raw, path):
            yield from find_mistakes(
                element,
                element_type,
                key,
                allows_unknown=allows_unknown,
            )
    else:
        yield from _check_value(raw, model, path)


def _list_elements(
    raw: list[typing.Any] | Mapping[str, typing.Any],
    path: str,
) -> Iterator[tuple[str, typing.Any]]:
    """Yield the elements of a list or mapping with their keys."""
    if isinstance(raw, Mapping):
        for name, element in raw.items():
            yield _join_path(path, name), element
    else:
        for index, element in enumerate(raw):
            yield f'{path}[{index}]', element


def _check_fields(
    raw: Mapping[str, typing.Any],
    struct: type[msgspec.Struct],
    path: str,
    allows_unknown: bool,
) -> Iterator[str]:
    types_by_attribute = typing.get_type_hints(struct, include_extras=True)
    types_by_key = {}
    for field in msgspec.structs.fields(struct):
        types_by_key[field.encode_name] = types_by_attribute[field.name]
        if field.required and field.encode_name not in raw:
            yield f'{_join_path(path, field.encode_name)}: missing'
    for name, raw_field in raw.items():
        field_type = types_by_key.get(name)
        if field_type is not None:
            yield from find_mistakes(
                raw_field,
                field_type,
                _join_path(path, name),
                allows_unknown=allows_unknown,
            )
        elif not allows_unknown:
            yield f'{_join_path(path, name)}: unknown key'


def _check_value(
    raw: typing.Any, model: typing.Any, path: str
) -> Iterator[str]:
    try:
        msgspec.convert(raw, model)
    except msgspec.ValidationError as error:
        yield f'{path}: {error}'


def _find_struct(model: typing.Any) -> type[msgspec.Struct] | None:
    """Return the struct of a type or of a union such as ``Struct | None``."""
    for member in (model, *_list_union_members(model)):
        if isinstance(member, type) and issubclass(member, msgspec.Struct):
            return member
    return None


def _find_element_type(model: typing.Any) -> typing.Any:
    """Return the element type of a list or mapping of structs."""
    container = _strip_annotated(model)
    if typing.get_origin(container) not in {list, dict}:
        return None
    element_type = typing.get_args(container)[-1]
    return None if _find_struct(element_type) is None else element_type


def _list_union_members(model: typing.Any) -> tuple[typing.Any, ...]:
    is_union = typing.get_origin(model) in {typing.Union, types.UnionType}
    return typing.get_args(model) if is_union else ()


def _strip_annotated(model: typing.Any) -> typing.Any:
    if typing.get_origin(model) is typing.Annotated:
        return typing.get_args(model)[0]
    return model


def _join_path(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name
